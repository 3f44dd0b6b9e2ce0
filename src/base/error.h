// Errors carried by Boost.LEAF.
#ifndef TOUCAN_BASE_ERROR_H
#define TOUCAN_BASE_ERROR_H

#include <boost/leaf.hpp>

#include <optional>
#include <string>
#include <type_traits>
#include <utility>

namespace toucan {

// An error with a text for people: it names the object, the value and the cause.
struct Error {
  std::string Message;
};

template <class T> using Result = boost::leaf::result<T>;

// Creates the failure value of a Result.
inline boost::leaf::error_id failure(std::string Message) {
  return boost::leaf::new_error(Error{std::move(Message)});
}

// The value of a computation, or the error that stopped it.
template <class T> struct Captured {
  std::optional<T> Value;
  Error Problem;
  explicit operator bool() const { return this->Value.has_value(); }
  T &operator*() { return *this->Value; }
  T *operator->() { return &*this->Value; }
};

struct Unit {};

// The value type of a Result; Unit for Result<void>.
template <class R> struct ResultValue;
template <class T> struct ResultValue<Result<T>> { using Type = T; };
template <> struct ResultValue<Result<void>> { using Type = Unit; };

// Runs F, which returns a Result, and keeps its value or its error.
template <class Fn> auto capture(Fn &&F) {
  using R = decltype(F());
  using T = typename ResultValue<R>::Type;
  using Out = Captured<T>;
  return boost::leaf::try_handle_all(
      [&]() -> Result<Out> {
        if constexpr (std::is_same_v<R, Result<void>>) {
          BOOST_LEAF_CHECK(F());
          return Out{.Value = Unit{}, .Problem = {}};
        } else {
          BOOST_LEAF_AUTO(Value, F());
          return Out{.Value = std::move(Value), .Problem = {}};
        }
      },
      [](const Error &E) { return Out{.Value = std::nullopt, .Problem = E}; },
      [] { return Out{.Value = std::nullopt, .Problem = {.Message = "unknown error"}}; });
}

} // namespace toucan

#endif // TOUCAN_BASE_ERROR_H
