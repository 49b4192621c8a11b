// dump, drain, members and keygen: commands that act on one process or create a key.
#include <algorithm>
#include <cctype>

#include <boost/json/serialize.hpp>

#include "cli/command.h"
#include "cli/control_client.h"
#include "cli/files.h"
#include "cli/flags.h"
#include "model/operator_signature.h"
#include "wire/endpoint.h"

namespace heatherdeck {
namespace {

duration response_timeout() { return std::chrono::seconds(FLAGS_timeout_s); }

outcome<std::vector<std::string>> admin_address(const std::string& address) {
  if (capture([&] { return parse_endpoint(address); })) return std::vector<std::string>{address};
  return error{error_kind::usage, "'" + address + "' is not an address",
               "give the admin_listen address of a process as ip:port", "ADMIN"};
}

awaitable<exit_code> call_and_show(command_context context, std::vector<std::string> hosts, http_request request) {
  control_client client(context.timers, context.executor, std::move(hosts));
  const duration limit = response_timeout();
  const outcome<boost::json::value> body = co_await client.get(std::move(request), limit);
  if (!body) co_return context.out.print_error(body.failure());
  const boost::json::object shown = body->is_object() ? body->get_object() : boost::json::object{{"state", *body}};
  context.out.print(boost::json::serialize(shown), shown);
  co_return exit_code::done;
}

// The entry to add to the `operators` list in the control hosts' settings, as YAML.
std::string operator_settings_yaml(const std::string& name, const std::string& public_key) {
  return "operators:\n  - name: " + name + "\n    public_key: " + public_key + "\n    sections: [\"*\"]";
}

result<std::string> make_key_file(const std::string& path) {
  BOOST_LEAF_AUTO(keys, generate_operator_keys());
  BOOST_LEAF_CHECK(write_file(path, keys.secret + "\n", true));
  return keys.public_key;
}

}  // namespace

awaitable<exit_code> run_dump(command_context context) {
  if (context.arguments.empty()) {
    auto hosts = capture([] { return parse_control_addresses(FLAGS_control); });
    if (!hosts) co_return context.out.print_error(hosts.failure());
    http_request request{"GET", "/v1/dump", {}, {}, {}};
    awaitable<exit_code> shown = call_and_show(std::move(context), *hosts, std::move(request));
    co_return co_await std::move(shown);
  }
  auto hosts = admin_address(context.arguments.front());
  if (!hosts) co_return context.out.print_error(hosts.failure());
  http_request request{"GET", "/dump", {}, {}, {}};
  awaitable<exit_code> shown = call_and_show(std::move(context), *hosts, std::move(request));
  co_return co_await std::move(shown);
}

awaitable<exit_code> run_drain(command_context context) {
  auto hosts = admin_address(context.arguments.front());
  if (!hosts) co_return context.out.print_error(hosts.failure());
  control_client client(context.timers, context.executor, *hosts);
  http_request request{"POST", "/drain", {}, {}, {}};
  const duration limit = response_timeout();
  const outcome<boost::json::value> body = co_await client.get(std::move(request), limit);
  if (!body) co_return context.out.print_error(body.failure());
  context.out.print("the process at " + context.arguments.front() + " completes its requests and then stops",
                    {{"draining", context.arguments.front()}});
  co_return exit_code::done;
}

awaitable<exit_code> run_members(command_context context) {
  auto hosts = admin_address(context.arguments[0]);
  if (!hosts) co_return context.out.print_error(hosts.failure());
  const std::string action = context.arguments[1];
  const std::string host = context.arguments[2];
  control_client client(context.timers, context.executor, *hosts);
  http_request request{"POST", "/members", {{"action", action}, {"host", host}}, {}, {}};
  const duration limit = response_timeout();
  const outcome<boost::json::value> body = co_await client.get(std::move(request), limit);
  if (!body) co_return context.out.print_error(body.failure());
  context.out.print(action + " " + host + ": done", {{"action", action}, {"host", host}});
  co_return exit_code::done;
}

awaitable<exit_code> run_keygen(command_context context) {
  if (FLAGS_out.empty()) {
    co_return context.out.print_error(
        {error_kind::usage, "no file is given for the secret key", "add --out=FILE", "--out"});
  }
  const outcome<std::string> made = capture([] { return make_key_file(FLAGS_out); });
  if (!made) co_return context.out.print_error(made.failure());
  const std::string name = FLAGS_operator_name.empty() ? "NAME" : FLAGS_operator_name;
  context.out.print("secret key: " + FLAGS_out +
                        " (keep it safe; it is not shown again)\nadd to every control host's settings:\n" +
                        operator_settings_yaml(name, *made),
                    {{"secret_key_file", FLAGS_out}, {"operator", name}, {"public_key", *made}});
  co_return exit_code::done;
}

}  // namespace heatherdeck
