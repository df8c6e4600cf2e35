#pragma once

#include <boost/pfr.hpp>

#include <chrono>
#include <concepts>
#include <cstdint>
#include <string>
#include <tuple>
#include <type_traits>

namespace masticstep::testing {

template <class T>
void AppendState(std::string& aText, const T& aValue);

namespace detail {

template <class T>
concept HasState = requires(const T& aValue)
{
  aValue.State();
};
template <class T>
concept HasText = requires(const T& aValue)
{
  aValue.Text();
};
template <class T>
concept IsRange = requires(const T& aValue)
{
  aValue.begin();
  aValue.end();
};
template <class T>
concept IsOptional = requires(const T& aValue)
{
  aValue.has_value();
  *aValue;
};
template <class T>
concept IsVariant = requires(const T& aValue)
{
  aValue.valueless_by_exception();
};
template <class T>
concept IsTime = requires(const T& aValue)
{
  aValue.time_since_epoch();
};
template <class T>
concept IsDuration = requires(const T& aValue)
{
  aValue.count();
};
template <class T>
concept IsTuple = requires
{
  std::tuple_size<T>::value;
};

inline void AppendBytes(std::string& aText, const void* aBytes, std::size_t aCount)
{
  aText.append(static_cast<const char*>(aBytes), aCount);
}

} // namespace detail

// Appends an unambiguous binary form of a value. Covers numbers, strings, standard containers,
// plain structs, and classes that return their members as a tuple from State().
template <class T>
void AppendState(std::string& aText, const T& aValue)
{
  using namespace detail;
  if constexpr (std::is_arithmetic_v<T> || std::is_enum_v<T>) {
    AppendBytes(aText, &aValue, sizeof(aValue));
  } else if constexpr (std::is_same_v<T, std::string>) {
    AppendState(aText, aValue.size());
    aText += aValue;
  } else if constexpr (HasState<T>) {
    AppendState(aText, aValue.State());
  } else if constexpr (HasText<T>) {
    AppendState(aText, aValue.Text());
  } else if constexpr (IsTime<T>) {
    AppendState(aText, aValue.time_since_epoch().count());
  } else if constexpr (IsDuration<T>) {
    AppendState(aText, aValue.count());
  } else if constexpr (IsOptional<T>) {
    aText += aValue.has_value() ? '1' : '0';
    if (aValue.has_value()) {
      AppendState(aText, *aValue);
    }
  } else if constexpr (IsVariant<T>) {
    AppendState(aText, aValue.index());
    std::visit([&aText](const auto& aItem) { AppendState(aText, aItem); }, aValue);
  } else if constexpr (IsRange<T>) {
    AppendState(aText, static_cast<std::uint64_t>(std::distance(aValue.begin(), aValue.end())));
    for (const auto& item : aValue) {
      AppendState(aText, item);
    }
  } else if constexpr (IsTuple<T>) {
    std::apply([&aText](const auto&... aItems) { (AppendState(aText, aItems), ...); }, aValue);
  } else {
    boost::pfr::for_each_field(aValue,
                               [&aText](const auto& aField) { AppendState(aText, aField); });
  }
}

} // namespace masticstep::testing
