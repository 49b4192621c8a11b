/// @file
/// Combines one lambda for each alternative into a visitor of a variant.
///
///     std::visit(overloaded_handlers{[&](const tick& t) { ... }, [&](const stop& s) { ... }}, message);
#pragma once

namespace heatherdeck {

template <class... Handlers>
struct overloaded_handlers : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
overloaded_handlers(Handlers...) -> overloaded_handlers<Handlers...>;

}  // namespace heatherdeck
