// Splits the text at the lines of the section names, instead of emitting the parsed tree again, so that the operators'
// formatting and comments are kept.
//
// Invariant: parsing the text of a section gives the same tree that the section has in the whole document; a document
// for which this does not hold is refused. Cost: the document is parsed once as a whole and once section by section.
#include "model/document_parser.h"

#include <algorithm>
#include <vector>

namespace heatherdeck {
namespace {

constexpr std::size_t max_name_bytes = 128;

std::vector<std::string_view> lines_of(std::string_view text) {
  std::vector<std::string_view> lines;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    std::string_view line = text.substr(0, end);
    if (line.ends_with('\r')) line.remove_suffix(1);
    lines.push_back(line);
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return lines;
}

std::size_t indent_of(std::string_view line) { return std::min(line.find_first_not_of(' '), line.size()); }
bool is_blank(std::string_view line) { return line.find_first_not_of(" \t") == std::string_view::npos; }
bool is_comment(std::string_view line) { return !is_blank(line) && line[indent_of(line)] == '#'; }

// Lines [first, last) of the file with one section, from the line of its name.
struct line_range {
  std::size_t first;
  std::size_t last;
};

// Text of a section's value, without the indentation that its lines have in common.
struct extracted_section {
  std::string text;
  std::size_t first_line;  // of the file, counted from 0
  std::size_t indent;      // columns removed from each line
};

// Excludes trailing lines that belong to the file and not to the section: blank lines, and comments that are not
// indented deeper than the section's name.
line_range trim_range(const std::vector<std::string_view>& lines, line_range range, std::size_t name_indent) {
  while (range.last > range.first + 1) {
    const std::string_view line = lines[range.last - 1];
    if (!is_blank(line) && !(is_comment(line) && indent_of(line) <= name_indent)) break;
    --range.last;
  }
  return range;
}

extracted_section extract_section(const std::vector<std::string_view>& lines, line_range range,
                                  const yaml_node& value) {
  const std::size_t value_line = value.line() - 1;
  const bool starts_on_name_line = value_line == range.first;
  const std::size_t start = starts_on_name_line ? range.first : range.first + 1;
  std::size_t indent = starts_on_name_line ? value.column() - 1 : std::string_view::npos;
  for (std::size_t i = start + (starts_on_name_line ? 1 : 0); i < range.last; ++i) {
    if (is_blank(lines[i]) || (is_comment(lines[i]) && !starts_on_name_line)) continue;
    indent = std::min(indent, indent_of(lines[i]));
  }
  extracted_section out{{}, start, indent};
  for (std::size_t i = start; i < range.last; ++i) {
    std::string_view line = lines[i];
    if (starts_on_name_line && i == range.first) {
      line.remove_prefix(value.column() - 1);
    } else {
      line.remove_prefix(std::min(indent, indent_of(line)));
    }
    out.text += line;
    out.text += '\n';
  }
  return out;
}

result<void> check_layout(const yaml_node& sections) {
  std::size_t last_line = 0;
  for (const yaml_node::entry& e : sections.entries()) {
    if (e.line == last_line) {
      return e.value.error_at("two sections are on the same line", "put each section on lines of its own");
    }
    last_line = e.line;
  }
  return {};
}

result<void> add_section(parsed_document& document, const yaml_node::entry& e, const extracted_section& extracted,
                         const std::string& file_name) {
  if (e.value.kind() == yaml_kind::null) {
    return e.value.error_at("section '" + e.key + "' is empty", "write its content or remove its name");
  }
  if (extracted.text.size() > max_section_bytes) {
    return e.value.error_at("section '" + e.key + "' has " + std::to_string(extracted.text.size()) +
                                " bytes; the limit is " + std::to_string(max_section_bytes),
                            "split it, e.g. into '" + e.key + "' and '" + e.key + ".2'");
  }
  const yaml_source source{file_name,          error_kind::bad_document, max_section_bytes,
                           max_document_depth, extracted.first_line,     extracted.indent};
  const outcome<yaml_node> reparsed = capture([&] { return read_yaml(extracted.text, source); });
  if (!reparsed || !reparsed->same_content(e.value)) {
    return e.value.error_at("section '" + e.key + "' cannot be extracted from the document because of its layout",
                            "put the section's content on lines of its own, indented deeper than its name");
  }
  document.sections[e.key] = extracted.text;
  document.places[e.key] = source;
  return {};
}

}  // namespace

result<parsed_document> parse_document(std::string_view text, const std::string& file_name) {
  BOOST_LEAF_AUTO(root, read_yaml(text, {.name = file_name, .max_depth = max_document_depth + 2}));
  BOOST_LEAF_CHECK(root.expect_keys({"sections"}));
  BOOST_LEAF_AUTO(sections, root.require("sections"));
  BOOST_LEAF_CHECK(sections->expect_kind(yaml_kind::map));
  if (sections->entries().size() > max_sections) {
    return sections->error_at("the document has " + std::to_string(sections->entries().size()) +
                                  " sections; the limit is " + std::to_string(max_sections),
                              "merge small sections");
  }
  BOOST_LEAF_CHECK(check_layout(*sections));
  const std::vector<std::string_view> lines = lines_of(text);
  parsed_document document;
  const auto& entries = sections->entries();
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const yaml_node::entry& e = entries[i];
    const outcome<section_kind> kind = capture([&] { return kind_of_section(e.key); });
    if (!kind) return fail(error_kind::bad_document, kind.failure().text, kind.failure().remedy, e.value.where());
    line_range range{e.line - 1, i + 1 < entries.size() ? entries[i + 1].line - 1 : lines.size()};
    range = trim_range(lines, range, e.column - 1);
    BOOST_LEAF_CHECK(add_section(document, e, extract_section(lines, range, e.value), file_name));
  }
  return document;
}

std::string render_document(const section_texts& sections) {
  if (sections.empty()) return "sections: {}\n";
  std::string out = "sections:\n";
  for (const auto& [name, text] : sections) {
    out += "  " + name + ":\n";
    for (const std::string_view line : lines_of(text)) {
      if (!line.empty()) out += "    ";
      out += line;
      out += '\n';
    }
  }
  return out;
}

section_texts section_texts_of(const document_state& state) {
  section_texts texts;
  for (const auto& [name, s] : state.sections) texts[name] = s.text;
  return texts;
}

result<section_kind> kind_of_section(std::string_view name) {
  const std::size_t dot = name.find('.');
  const std::string_view suffix = dot == std::string_view::npos ? "" : name.substr(dot + 1);
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
  };
  const bool well_formed = name.size() <= max_name_bytes && std::all_of(suffix.begin(), suffix.end(), allowed) &&
                           (dot == std::string_view::npos || !suffix.empty());
  const auto kind = from_name<section_kind>(name.substr(0, dot));
  if (kind && well_formed) return *kind;
  return fail(error_kind::bad_document, "'" + std::string(name.substr(0, max_name_bytes)) + "' is not a section name",
              "write kind or kind.suffix (a-z, 0-9, '-', '_', '.'); the kinds are " + all_names<section_kind>(),
              "section " + std::string(name.substr(0, max_name_bytes)));
}

}  // namespace heatherdeck
