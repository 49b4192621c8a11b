/// @file
/// Reads YAML from files and sections into an immutable tree, and reports every fault with its line and a remedy.
///
/// This is the only place that touches yaml-cpp. Size and depth are limited; anchors, aliases, tags, duplicate keys and
/// a second document in the same text are refused. Readers of settings and of documents walk the tree:
///
///     BOOST_LEAF_AUTO(root, read_yaml(text, {.name = "node.yaml", .kind = error_kind::bad_settings}));
///     BOOST_LEAF_CHECK(root.expect_keys({"listen", "zone", "drain_limit_ms"}));
///     BOOST_LEAF_AUTO(listen, root.need("listen"));                  // const yaml_node*
///     BOOST_LEAF_AUTO(address, listen->as_text());
///     if (const yaml_node* limit = root.find("drain_limit_ms")) {
///       BOOST_LEAF_AUTO(ms, limit->as_number(1, 600'000));
///     }
///     return root.fault("zone 'x' has no host", "add one to hosts");  // error at the node's place
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

/// Where a text comes from and how much of it is accepted.
struct yaml_source {
  std::string name;                            ///< file name or "section routes.certdesk"
  error_kind kind = error_kind::bad_document;  ///< kind of the errors
  std::size_t max_bytes = max_document_bytes;  ///< longer texts are refused unread
  std::size_t max_depth = max_document_depth;  ///< deepest nesting of maps and lists
  std::size_t line_offset = 0;                 ///< lines of the file before the text
  std::size_t column_offset = 0;               ///< columns of the file before each line of the text
};

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

/// One node of the tree. Copies are deep; the source's description is shared.
class yaml_node {
 public:
  struct entry;

  yaml_node() = default;

  yaml_kind kind() const { return kind_; }
  std::size_t line() const { return line_; }      ///< first line is 1, counted within the text
  std::size_t column() const { return column_; }  ///< first column is 1
  const std::string& text() const { return text_; }
  const std::vector<yaml_node>& items() const { return items_; }
  const std::vector<entry>& entries() const { return entries_; }

  /// @return the value under a key of this map, or null when there is none.
  const yaml_node* find(std::string_view key) const;

  /// @return the value under a key, or an error that names the missing key.
  result<const yaml_node*> need(std::string_view key) const;

  /// Refuses a node of another kind, e.g. a list where a map is expected.
  result<void> expect(yaml_kind wanted) const;

  /// Refuses a node that is no map, and every key that is not in the list.
  result<void> expect_keys(std::initializer_list<std::string_view> known) const;
  result<void> expect_keys(const std::vector<std::string_view>& known) const;

  /// @return the scalar's text; empty text is refused.
  result<std::string> as_text() const;

  /// @return a whole decimal number within [least, most].
  result<std::uint64_t> as_number(std::uint64_t least, std::uint64_t most) const;

  /// @return a decimal number within [least, most].
  result<double> as_decimal(double least, double most) const;

  /// @return a flag written as true or false.
  result<bool> as_flag() const;

  /// @return the value of an enumeration by its table of names.
  template <class Enum>
  result<Enum> as_enum() const {
    BOOST_LEAF_AUTO(name, as_text());
    if (const auto value = from_name<Enum>(name)) return *value;
    return fault("'" + name + "' is not known here", "use one of: " + all_names<Enum>());
  }

  /// @return the items of a list of texts.
  result<std::vector<std::string>> as_texts() const;

  /// @return an error of the source's kind at this node's place.
  boost::leaf::error_id fault(std::string text, std::string remedy) const;

  /// @return "name:line:column" of this node.
  std::string where() const;

  /// Compares the content without the places.
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

/// One key with its value; entries keep the order of the text.
struct yaml_node::entry {
  std::string key;
  std::size_t line = 1;
  std::size_t column = 1;
  yaml_node value;
};

/// Parses a text.
/// @param text UTF-8; an empty text is a null node.
/// @param source its name, limits and error kind.
/// @return the root, or an error of `source.kind` with place and remedy.
result<yaml_node> read_yaml(std::string_view text, yaml_source source);

}  // namespace heatherdeck
