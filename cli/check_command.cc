// check: validates documents and settings files without a control host. A file with the top-level key `sections` is a
// document, any other file settings of heatherdeckd. Invariant: every file is checked, also after one has failed.
#include "cli/command.h"
#include "cli/files.h"
#include "model/document_compiler.h"
#include "model/document_parser.h"
#include "model/settings.h"

namespace heatherdeck {
namespace {

struct checked_file {
  std::string summary;
  boost::json::object fields;
};

std::string counted(std::size_t number, const std::string& noun) {
  return std::to_string(number) + " " + noun + (number == 1 ? "" : "s");
}

result<checked_file> check_document(const std::string& path, const std::string& text) {
  BOOST_LEAF_AUTO(parsed, parse_document(text, path));
  document_state state;
  for (const auto& [name, section_text] : parsed.sections) state.sections[name] = {name, section_text, {}};
  document_compiler compiler;
  BOOST_LEAF_AUTO(compiled, compiler.compile(state, parsed.places));
  return checked_file{"document ok: " + counted(state.sections.size(), "section") + ", " +
                          counted(compiled->services.size(), "service") + ", " +
                          counted(compiled->routes.size(), "route") + ", " +
                          counted(compiled->rollouts.size(), "rollout"),
                      {{"kind", "document"},
                       {"sections", state.sections.size()},
                       {"services", compiled->services.size()},
                       {"routes", compiled->routes.size()},
                       {"rollouts", compiled->rollouts.size()}}};
}

result<checked_file> check_settings(const std::string& path, const std::string& text) {
  BOOST_LEAF_AUTO(s, parse_settings(text, path));
  const std::string roles = s.is_control && s.is_node ? "control and node" : s.is_control ? "control" : "node";
  return checked_file{"settings ok: role " + roles + ", id " + s.id, {{"kind", "settings"}, {"id", s.id}}};
}

bool is_document(const std::string& text) {
  const outcome<yaml_node> root =
      capture([&] { return read_yaml(text, {.name = "", .max_depth = max_document_depth + 2}); });
  // YAML that cannot be parsed is checked as a document if a line starts with `sections:`, so that the error comes from
  // the document parser.
  if (!root) return text.starts_with("sections:") || text.find("\nsections:") != std::string::npos;
  return root->find("sections") != nullptr;
}

}  // namespace

awaitable<exit_code> run_check(command_context context) {
  exit_code worst = exit_code::done;
  for (const std::string& path : context.arguments) {
    const outcome<checked_file> checked = capture([&]() -> result<checked_file> {
      BOOST_LEAF_AUTO(text, read_file(path));
      return is_document(text) ? check_document(path, text) : check_settings(path, text);
    });
    if (!checked) {
      worst = context.out.print_error(checked.failure());
      continue;
    }
    boost::json::object fields = checked->fields;
    fields["file"] = path;
    context.out.print(path + ": " + checked->summary, fields);
  }
  co_return worst == exit_code::done ? worst : exit_code::failed;
}

}  // namespace heatherdeck
