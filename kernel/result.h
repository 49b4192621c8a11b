/// @file
/// The two result types, `result<T>` and `outcome<T>`, and the conversions between them.
///
/// `result<T>` is `boost::leaf::result<T>` and is for synchronous calls only: LEAF stores the error object in
/// thread-local storage of the enclosing handler, so a coroutine that suspends loses it. `outcome<T>` contains the
/// value or the error itself and can be kept across a suspension point or sent through a mailbox or to another process.
///
///     result<document> parse(std::string_view text);
///     outcome<document> parsed = capture([&] { return parse(text); });
///     if (!parsed) co_return parsed.failure();
///     use(*parsed);
#pragma once

#include <string>
#include <type_traits>
#include <utility>
#include <variant>

#include <boost/leaf.hpp>

#include "kernel/error.h"

namespace heatherdeck {

template <class T>
using result = boost::leaf::result<T>;

/// Raises an error from a function that returns a `result`: `return fail(...)`.
/// @return a LEAF error id, which converts to any `result<T>`.
inline boost::leaf::error_id fail(error e) { return boost::leaf::new_error(std::move(e)); }

inline boost::leaf::error_id fail(error_kind kind, std::string text, std::string remedy = {}, std::string where = {}) {
  return fail(error{kind, std::move(text), std::move(remedy), std::move(where)});
}

/// A value or an error. The default-constructed state, which Asio channels require, is an `internal` error.
template <class T>
class [[nodiscard]] outcome {
 public:
  using value_type = T;

  outcome()
      : state_(error{
            error_kind::internal, "the outcome was never set to a value or an error", "report this as a bug", {}}) {}
  outcome(T value) : state_(std::move(value)) {}          // NOLINT(google-explicit-constructor)
  outcome(error failure) : state_(std::move(failure)) {}  // NOLINT(google-explicit-constructor)

  bool has_value() const { return state_.index() == 0; }
  explicit operator bool() const { return has_value(); }

  /// @return the value; requires has_value().
  T& value() { return std::get<0>(state_); }
  const T& value() const { return std::get<0>(state_); }
  T& operator*() { return value(); }
  const T& operator*() const { return value(); }
  T* operator->() { return &value(); }
  const T* operator->() const { return &value(); }

  /// @return the error; requires !has_value().
  const error& failure() const { return std::get<1>(state_); }

 private:
  std::variant<T, error> state_;
};

/// Success without a value, or an error.
template <>
class [[nodiscard]] outcome<void> {
 public:
  using value_type = void;

  outcome() = default;
  outcome(error failure) : failure_(std::move(failure)), ok_(false) {}  // NOLINT(google-explicit-constructor)

  bool has_value() const { return ok_; }
  explicit operator bool() const { return ok_; }
  const error& failure() const { return failure_; }

 private:
  error failure_;
  bool ok_ = true;
};

namespace detail {
/// The value type of a result; LEAF's own alias is private.
template <class Result>
struct result_value;
template <class T>
struct result_value<boost::leaf::result<T>> {
  using type = T;
};
}  // namespace detail

/// Calls a synchronous function and converts its `result` to an `outcome`.
/// @param function a callable without parameters that returns result<T>.
/// @return the value, or the error that the function raised.
template <class Function>
auto capture(Function&& function) {
  using result_type = std::remove_cvref_t<decltype(function())>;
  using value_type = typename detail::result_value<result_type>::type;
  if constexpr (std::is_void_v<value_type>) {
    return boost::leaf::try_handle_all(
        [&]() -> result<outcome<void>> {
          BOOST_LEAF_CHECK(function());
          return outcome<void>();
        },
        [](const error& e) { return outcome<void>(e); },
        [] {
          return outcome<void>(error{
              error_kind::internal, "a function failed with an error of unknown type", "report this as a bug", {}});
        });
  } else {
    using out = outcome<value_type>;
    return boost::leaf::try_handle_all(
        [&]() -> result<out> {
          auto&& raised = function();
          if (!raised) return raised.error();
          return out(std::move(*raised));
        },
        [](const error& e) { return out(e); },
        [] {
          return out(error{
              error_kind::internal, "a function failed with an error of unknown type", "report this as a bug", {}});
        });
  }
}

/// @return the outcome converted to a `result`, for use in a synchronous function.
template <class T>
result<T> to_result(outcome<T> value) {
  if (!value) return fail(value.failure());
  if constexpr (std::is_void_v<T>) {
    return {};
  } else {
    return std::move(*value);
  }
}

}  // namespace heatherdeck
