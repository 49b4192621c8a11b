/// @file
/// Tables that pair the values of an enumeration with their text names.
///
/// Every enumeration whose values appear in settings, logs, dumps or error messages has exactly one table, next to its
/// definition. A look-up searches the table linearly. Example:
///
///     enum class upstream_state { starting, ready, draining };
///     template <>
///     struct enum_table<upstream_state> {
///       static constexpr auto entries = std::to_array<enum_entry<upstream_state>>({
///           {upstream_state::starting, "starting"},
///           {upstream_state::ready, "ready"},
///           {upstream_state::draining, "draining"},
///       });
///     };
///
///     to_name(upstream_state::ready);            // "ready"
///     from_name<upstream_state>("draining");     // upstream_state::draining
///     from_name<upstream_state>("gone");         // std::nullopt
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace heatherdeck {

/// One row of an enumeration's table.
template <class Enum>
struct enum_entry {
  Enum value;
  std::string_view name;
};

/// Specialised for each enumeration; its static member `entries` is the array of rows.
template <class Enum>
struct enum_table;

/// @param value a value of an enumeration that has a table.
/// @return its name, or "unknown" for a value outside the table.
template <class Enum>
constexpr std::string_view to_name(Enum value) {
  for (const auto& entry : enum_table<Enum>::entries) {
    if (entry.value == value) return entry.name;
  }
  return "unknown";
}

/// @param name the text to look up; the comparison is exact.
/// @return the value with that name, or nothing.
template <class Enum>
constexpr std::optional<Enum> from_name(std::string_view name) {
  for (const auto& entry : enum_table<Enum>::entries) {
    if (entry.name == name) return entry.value;
  }
  return std::nullopt;
}

/// @return all names of the enumeration, separated by ", ", for an error's list of permitted values.
template <class Enum>
std::string all_names() {
  std::string text;
  for (const auto& entry : enum_table<Enum>::entries) {
    if (!text.empty()) text += ", ";
    text += entry.name;
  }
  return text;
}

}  // namespace heatherdeck
