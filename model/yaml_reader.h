/// @file
/// Parses YAML into an immutable tree; errors have the location in the text and a remedy.
///
/// Used for settings, documents and scenario files. No other code uses yaml-cpp. Size and depth are limited; anchors,
/// aliases, tags, duplicate keys and a second YAML document in the same text are refused. Callers walk the tree:
///
///     BOOST_LEAF_AUTO(root, read_yaml(text, {.name = "node.yaml", .kind = error_kind::bad_settings}));
///     BOOST_LEAF_CHECK(root.expect_keys({"listen", "zone", "drain_limit_ms"}));
///     BOOST_LEAF_AUTO(listen, root.require("listen"));                  // const yaml_node*
///     BOOST_LEAF_AUTO(address, listen->as_string());
///     if (const yaml_node* limit = root.find("drain_limit_ms")) {
///       BOOST_LEAF_AUTO(ms, limit->as_unsigned(1, 600'000));
///     }
///     return root.error_at("zone 'x' has no host", "add one to hosts");  // error with the node's location
#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kernel/enum_names.h"
#include "kernel/result.h"
#include "model/document.h"

namespace heatherdeck {

/// Where a text comes from, and limits on it.
struct yaml_source {
  std::string name;                            ///< file name or "section routes.certdesk"
  error_kind kind = error_kind::bad_document;  ///< kind of all errors
  std::size_t max_bytes = max_document_bytes;  ///< longer texts are refused before parsing
  std::size_t max_depth = max_document_depth;  ///< maximum nesting of maps and lists
  std::size_t line_offset = 0;                 ///< lines of the file before the text; added to locations
  std::size_t column_offset = 0;               ///< columns of the file before each line of the text; added to locations
};

/// Kind of a node; the names are those of error messages.
enum class yaml_kind { null, scalar, list, map };

template <>
struct enum_table<yaml_kind> {
  static constexpr auto entries = std::to_array<enum_entry<yaml_kind>>({
      {yaml_kind::null, "nothing"},
      {yaml_kind::scalar, "a single value"},
      {yaml_kind::list, "a list"},
      {yaml_kind::map, "a map"},
  });
};

/// One node of the tree. Copies are deep but share the `yaml_source`.
class yaml_node {
 public:
  struct entry;

  yaml_node() = default;

  yaml_kind kind() const { return kind_; }
  std::size_t line() const { return line_; }                      ///< within the text, from 1
  std::size_t column() const { return column_; }                  ///< within the text, from 1
  const std::string& text() const { return text_; }               ///< of a scalar; empty for other kinds
  const std::vector<yaml_node>& items() const { return items_; }  ///< of a list
  const std::vector<entry>& entries() const { return entries_; }  ///< of a map, in the order of the text

  /// @return the value of a key of this map, or null if the key is missing.
  const yaml_node* find(std::string_view key) const;

  /// @return the value of a key of this map, or an error that names the missing key.
  result<const yaml_node*> require(std::string_view key) const;

  /// @return an error if the node is of another kind, e.g. a list where a map is expected.
  result<void> expect_kind(yaml_kind expected) const;

  /// @return an error if the node is not a map or has a key that is not in the list.
  result<void> expect_keys(std::initializer_list<std::string_view> known) const;
  result<void> expect_keys(const std::vector<std::string_view>& known) const;

  /// @return the text of a scalar, or an error if it is empty.
  result<std::string> as_string() const;

  /// @return an integer within [min_value, max_value], written in decimal.
  result<std::uint64_t> as_unsigned(std::uint64_t min_value, std::uint64_t max_value) const;

  /// @return a finite number within [min_value, max_value].
  result<double> as_double(double min_value, double max_value) const;

  /// @return a boolean, written as `true` or `false`.
  result<bool> as_bool() const;

  /// @return the enumeration value whose name (see kernel/enum_names.h) the scalar holds.
  template <class Enum>
  result<Enum> as_enum() const {
    BOOST_LEAF_AUTO(name, as_string());
    if (const auto value = from_name<Enum>(name)) return *value;
    return error_at("'" + name + "' is not a known value", "use one of: " + all_names<Enum>());
  }

  /// @return the items of a list of scalars.
  result<std::vector<std::string>> as_strings() const;

  /// @return an error of the source's kind with this node's location.
  boost::leaf::error_id error_at(std::string text, std::string remedy) const;

  /// @return the location of this node in its file, "name:line:column".
  std::string where() const;

  /// @return true if both trees are equal, apart from their locations.
  bool same_content(const yaml_node& other) const;

 private:
  friend class yaml_builder;

  yaml_kind kind_ = yaml_kind::null;
  std::size_t line_ = 1;
  std::size_t column_ = 1;
  std::string text_;
  std::vector<yaml_node> items_;
  std::vector<entry> entries_;
  std::shared_ptr<const yaml_source> source_;
};

/// One key of a map with its value. Line and column are those of the key.
struct yaml_node::entry {
  std::string key;
  std::size_t line = 1;
  std::size_t column = 1;
  yaml_node value;
};

/// Parses a text.
/// @param text UTF-8; an empty text gives a null node.
/// @param source name, limits and error kind of the text.
/// @return the root, or an error of `source.kind` with location and remedy.
result<yaml_node> read_yaml(std::string_view text, yaml_source source);

}  // namespace heatherdeck
