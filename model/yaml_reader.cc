// Builds the tree from the events of yaml-cpp's parser, not from YAML::Node: text with excessive nesting, aliases or
// duplicate keys is refused during parsing, before memory is allocated for it.
//
// Invariant: a tree that is returned has depth <= max_depth, no duplicate key and no alias. Cost: one pass over the
// text, one node per value. Look-up of a key is linear in the number of keys of its map; the check for duplicates keeps
// a set of keys for each open map.
#include "model/yaml_reader.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <istream>
#include <optional>
#include <set>
#include <streambuf>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

namespace heatherdeck {
namespace {

// Read-only stream buffer over a text, without a copy.
class string_view_buffer : public std::streambuf {
 public:
  explicit string_view_buffer(std::string_view text) {
    char* begin = const_cast<char*>(text.data());  // NOLINT(cppcoreguidelines-pro-type-const-cast): only read
    setg(begin, begin, begin + text.size());
  }
};

// Thrown in the parser's callbacks and caught in read_yaml; yaml-cpp has no other way to stop early.
struct yaml_refusal {
  std::size_t line;
  std::size_t column;
  std::string text;
  std::string remedy;
};

std::string location(const yaml_source& source, std::size_t line, std::size_t column) {
  return source.name + ":" + std::to_string(line + source.line_offset) + ":" +
         std::to_string(column + source.column_offset);
}

// Length of the UTF-8 sequence at `at`; 0 if it is malformed or a control character other than tab, CR and LF.
std::size_t utf8_length(std::string_view text, std::size_t at) {
  const auto byte = [&](std::size_t i) { return i < text.size() ? static_cast<unsigned char>(text[i]) : 0U; };
  const unsigned first = byte(at);
  if (first < 0x80) return first >= 0x20 || first == '\t' || first == '\n' || first == '\r' ? 1 : 0;
  const std::size_t length = first >= 0xF0 && first <= 0xF4 ? 4 : first >= 0xE0 ? 3 : first >= 0xC2 ? 2 : 0;
  if (length == 0 || first > 0xF4) return 0;
  for (std::size_t i = 1; i < length; ++i) {
    if ((byte(at + i) & 0xC0U) != 0x80U) return 0;
  }
  return length;
}

result<void> check_characters(std::string_view text, const yaml_source& source) {
  std::size_t line = 1;
  std::size_t line_start = 0;
  for (std::size_t at = 0; at < text.size();) {
    const std::size_t length = utf8_length(text, at);
    if (length == 0) {
      return fail(source.kind, "the text has a byte that is not UTF-8 text or is a control character",
                  "save the text as UTF-8 without control characters", location(source, line, at - line_start + 1));
    }
    if (text[at] == '\n') {
      ++line;
      line_start = at + 1;
    }
    at += length;
  }
  return {};
}

}  // namespace

// Event handler of yaml-cpp's parser; keeps a stack of the open maps and lists.
class yaml_builder : public YAML::EventHandler {
 public:
  explicit yaml_builder(std::shared_ptr<const yaml_source> source) : source_(std::move(source)) {}

  /// Builds the tree that the YAML parser would build from the JSON text of `value`, but without locations.
  static yaml_node from_json(const boost::json::value& value, const std::shared_ptr<const yaml_source>& source) {
    yaml_node node;
    node.source_ = source;
    if (const auto* object = value.if_object()) {
      node.kind_ = yaml_kind::map;
      node.entries_.reserve(object->size());
      for (const auto& member : *object) {
        node.entries_.push_back({std::string(member.key()), 1, 1, from_json(member.value(), source)});
      }
    } else if (const auto* list = value.if_array()) {
      node.kind_ = yaml_kind::list;
      node.items_.reserve(list->size());
      for (const auto& item : *list) node.items_.push_back(from_json(item, source));
    } else if (!value.is_null()) {
      node.kind_ = yaml_kind::scalar;
      node.text_ = value.is_string() ? std::string(value.get_string()) : boost::json::serialize(value);
    }
    return node;
  }

  yaml_node take_root() { return std::move(root_); }
  bool has_content() const { return has_content_; }

  void OnDocumentStart(const YAML::Mark&) override {}
  void OnDocumentEnd() override {}

  void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override {
    refuse_anchor(mark, anchor);
    add(make_node(mark, yaml_kind::null));
  }
  void OnAlias(const YAML::Mark& mark, YAML::anchor_t) override {
    refuse(mark, "aliases are not allowed", "write the value out in full");
  }
  void OnScalar(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                const std::string& value) override {
    refuse_anchor(mark, anchor);
    refuse_tag(mark, tag);
    yaml_node node = make_node(mark, yaml_kind::scalar);
    node.text_ = value;
    add(std::move(node));
  }
  void OnSequenceStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                       YAML::EmitterStyle::value) override {
    open(mark, tag, anchor, yaml_kind::list);
  }
  void OnSequenceEnd() override { close(); }
  void OnMapStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                  YAML::EmitterStyle::value) override {
    open(mark, tag, anchor, yaml_kind::map);
  }
  void OnMapEnd() override { close(); }

 private:
  struct open_node {
    yaml_node node;
    std::set<std::string> keys;
    bool key_pending = false;  // the last entry has its key, but not yet its value
  };

  [[noreturn]] static void refuse(const YAML::Mark& mark, std::string text, std::string remedy) {
    throw yaml_refusal{static_cast<std::size_t>(mark.line) + 1, static_cast<std::size_t>(mark.column) + 1,
                       std::move(text), std::move(remedy)};
  }
  static void refuse_anchor(const YAML::Mark& mark, YAML::anchor_t anchor) {
    if (anchor != 0) refuse(mark, "anchors are not allowed", "remove the '&name' and write the value out in full");
  }
  static void refuse_tag(const YAML::Mark& mark, const std::string& tag) {
    if (!tag.empty() && tag != "?" && tag != "!") refuse(mark, "tag '" + tag + "' is not allowed", "remove the tag");
  }

  yaml_node make_node(const YAML::Mark& mark, yaml_kind kind) {
    has_content_ = true;
    yaml_node node;
    node.kind_ = kind;
    node.line_ = static_cast<std::size_t>(mark.line) + 1;
    node.column_ = static_cast<std::size_t>(mark.column) + 1;
    node.source_ = source_;
    return node;
  }

  void open(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor, yaml_kind kind) {
    refuse_anchor(mark, anchor);
    refuse_tag(mark, tag);
    if (open_.size() >= source_->max_depth) {
      refuse(mark, "nesting is deeper than " + std::to_string(source_->max_depth) + " levels", "flatten the text");
    }
    if (expects_key()) refuse(mark, "a key must be a single value", "write 'key: value'");
    open_.push_back({make_node(mark, kind), {}, false});
  }

  void close() {
    yaml_node done = std::move(open_.back().node);
    open_.pop_back();
    add(std::move(done));
  }

  bool expects_key() const {
    return !open_.empty() && open_.back().node.kind_ == yaml_kind::map && !open_.back().key_pending;
  }

  void add(yaml_node node) {
    if (open_.empty()) {
      root_ = std::move(node);
      return;
    }
    open_node& top = open_.back();
    if (top.node.kind_ == yaml_kind::list) {
      top.node.items_.push_back(std::move(node));
    } else if (top.key_pending) {
      top.node.entries_.back().value = std::move(node);
      top.key_pending = false;
    } else {
      add_key(top, node);
    }
  }

  static void add_key(open_node& top, const yaml_node& node) {
    const std::string key = node.kind_ == yaml_kind::scalar ? node.text_ : "";
    if (key.empty()) {
      throw yaml_refusal{node.line_, node.column_, "a key is empty", "write 'key: value'"};
    }
    if (!top.keys.insert(key).second) {
      throw yaml_refusal{node.line_, node.column_, "key '" + key + "' appears twice", "remove one of the two"};
    }
    top.node.entries_.push_back({key, node.line_, node.column_, {}});
    top.key_pending = true;
  }

  std::shared_ptr<const yaml_source> source_;
  std::vector<open_node> open_;
  yaml_node root_;
  bool has_content_ = false;
};

// Sections that the program wrote itself are JSON in the form of boost::json::serialize. The JSON parser takes a
// hundredth of the time of the YAML parser. Text that does not serialize to itself, e.g. with a duplicate key, is left
// to the YAML parser.
std::optional<boost::json::value> parse_canonical_json(std::string_view text, std::size_t max_depth) {
  if (!text.starts_with('{')) return std::nullopt;
  boost::system::error_code ec;
  boost::json::parse_options options;
  options.max_depth = max_depth;
  boost::json::value parsed = boost::json::parse({text.data(), text.size()}, ec, {}, options);
  if (ec || boost::json::serialize(parsed) != text) return std::nullopt;
  return parsed;
}

result<yaml_node> read_yaml(std::string_view text, yaml_source source) {
  if (text.size() > source.max_bytes) {
    return fail(
        source.kind,
        "the text has " + std::to_string(text.size()) + " bytes; the limit is " + std::to_string(source.max_bytes),
        "split it into smaller parts", location(source, 1, 1));
  }
  BOOST_LEAF_CHECK(check_characters(text, source));
  const auto shared = std::make_shared<const yaml_source>(std::move(source));
  if (const auto json = parse_canonical_json(text, shared->max_depth)) return yaml_builder::from_json(*json, shared);
  try {
    string_view_buffer buffer(text);
    std::istream stream(&buffer);
    YAML::Parser parser(stream);
    yaml_builder builder(shared);
    parser.HandleNextDocument(builder);
    yaml_builder rest(shared);
    if (parser.HandleNextDocument(rest) && rest.has_content()) {
      return fail(shared->kind, "the text holds more than one YAML document", "remove the '---' line",
                  location(*shared, rest.take_root().line(), 1));
    }
    yaml_node root = builder.take_root();
    if (!builder.has_content()) {
      // The null node of an empty text needs its source, too, for the errors of the caller.
      BOOST_LEAF_AUTO(null_node, read_yaml("~", *shared));
      return null_node;
    }
    return root;
  } catch (const yaml_refusal& e) {
    return fail(shared->kind, e.text, e.remedy, location(*shared, e.line, e.column));
  } catch (const YAML::Exception& e) {
    const bool has_mark = !e.mark.is_null();
    const auto line = has_mark ? static_cast<std::size_t>(e.mark.line) + 1 : 1;
    const auto column = has_mark ? static_cast<std::size_t>(e.mark.column) + 1 : 1;
    return fail(shared->kind, "the text is not valid YAML: " + e.msg,
                "check indentation, brackets and quotes at this place", location(*shared, line, column));
  }
}

const yaml_node* yaml_node::find(std::string_view key) const {
  for (const entry& e : entries_) {
    if (e.key == key) return &e.value;
  }
  return nullptr;
}

result<const yaml_node*> yaml_node::require(std::string_view key) const {
  BOOST_LEAF_CHECK(expect_kind(yaml_kind::map));
  if (const yaml_node* found = find(key)) return found;
  return error_at("key '" + std::string(key) + "' is missing", "add '" + std::string(key) + ": ...'");
}

result<void> yaml_node::expect_kind(yaml_kind expected) const {
  if (kind_ == expected) return {};
  return error_at(std::string(to_name(kind_)) + " was found where " + std::string(to_name(expected)) + " is expected",
                  "write " + std::string(to_name(expected)));
}

result<void> yaml_node::expect_keys(std::initializer_list<std::string_view> known) const {
  return expect_keys(std::vector<std::string_view>(known));
}

result<void> yaml_node::expect_keys(const std::vector<std::string_view>& known) const {
  BOOST_LEAF_CHECK(expect_kind(yaml_kind::map));
  for (const entry& e : entries_) {
    if (std::find(known.begin(), known.end(), e.key) != known.end()) continue;
    std::string names;
    for (const std::string_view name : known) names += (names.empty() ? "" : ", ") + std::string(name);
    return fail(source_->kind, "key '" + e.key + "' is not known", "use one of: " + names,
                location(*source_, e.line, e.column));
  }
  return {};
}

result<std::string> yaml_node::as_string() const {
  BOOST_LEAF_CHECK(expect_kind(yaml_kind::scalar));
  if (text_.empty()) return error_at("the value is empty", "write a value");
  return text_;
}

result<std::uint64_t> yaml_node::as_unsigned(std::uint64_t min_value, std::uint64_t max_value) const {
  BOOST_LEAF_AUTO(digits, as_string());
  std::uint64_t value = 0;
  const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
  if (ec != std::errc() || end != digits.data() + digits.size() || value < min_value || value > max_value) {
    return error_at(
        "'" + digits + "' is not a whole number from " + std::to_string(min_value) + " to " + std::to_string(max_value),
        "write a whole number in this range");
  }
  return value;
}

result<double> yaml_node::as_double(double min_value, double max_value) const {
  BOOST_LEAF_AUTO(digits, as_string());
  double value = 0;
  const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
  if (ec != std::errc() || end != digits.data() + digits.size() || !std::isfinite(value) || value < min_value ||
      value > max_value) {
    const auto to_decimal = [](double number) {
      std::string out(32, '\0');
      out.resize(std::to_chars(out.data(), out.data() + out.size(), number).ptr - out.data());
      return out;
    };
    return error_at("'" + digits + "' is not a number from " + to_decimal(min_value) + " to " + to_decimal(max_value),
                    "write a number in this range");
  }
  return value;
}

result<bool> yaml_node::as_bool() const {
  BOOST_LEAF_AUTO(text, as_string());
  if (text == "true") return true;
  if (text == "false") return false;
  return error_at("'" + text + "' is neither true nor false", "write true or false");
}

result<std::vector<std::string>> yaml_node::as_strings() const {
  BOOST_LEAF_CHECK(expect_kind(yaml_kind::list));
  std::vector<std::string> texts;
  for (const yaml_node& item : items_) {
    BOOST_LEAF_AUTO(text, item.as_string());
    texts.push_back(std::move(text));
  }
  return texts;
}

boost::leaf::error_id yaml_node::error_at(std::string text, std::string remedy) const {
  return fail(source_ ? source_->kind : error_kind::internal, std::move(text), std::move(remedy), where());
}

std::string yaml_node::where() const { return source_ ? location(*source_, line_, column_) : std::string(); }

bool yaml_node::same_content(const yaml_node& other) const {
  if (kind_ != other.kind_ || text_ != other.text_ || items_.size() != other.items_.size() ||
      entries_.size() != other.entries_.size()) {
    return false;
  }
  for (std::size_t i = 0; i < items_.size(); ++i) {
    if (!items_[i].same_content(other.items_[i])) return false;
  }
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (entries_[i].key != other.entries_[i].key || !entries_[i].value.same_content(other.entries_[i].value)) {
      return false;
    }
  }
  return true;
}

}  // namespace heatherdeck
