#include "masticstep/authority/EngineOrder.hpp"

#include "masticstep/base/ObjectReader.hpp"

namespace masticstep::authority {

namespace {

const std::string kObjectName = "intent";
constexpr IntegerRange kFencingRange{ 0, INT64_MAX };
constexpr IntegerRange kTimeoutMsRange{ 0, 3600 * 1000 };

} // namespace

platform::ObjectKey IntentKey(const EngineId& aEngine)
{
  return platform::ObjectKey{ "engines/" + aEngine.Text() + "/intent" };
}

std::string EncodeIntent(const Intent& aIntent)
{
  const bool done = aIntent.state == IntentState::Done;
  boost::json::object order{ { "id", aIntent.order.id }, { "kind", aIntent.order.kind } };
  if (!aIntent.order.argument.empty()) {
    order["argument"] = aIntent.order.argument;
  }
  return boost::json::serialize(
    boost::json::object{ { "order", std::move(order) },
                         { "fencing", aIntent.fencing },
                         { "timeout_ms", aIntent.timeout / Milliseconds(1) },
                         { "state", done ? "done" : "outstanding" },
                         { "nonce", aIntent.nonce } });
}

std::optional<Intent> ParseIntent(std::string_view aText)
{
  Faults faults;
  const std::optional<boost::json::object> object = ParseObject(aText, kObjectName, faults);
  if (!object) {
    return std::nullopt;
  }
  ObjectReader reader(*object, kObjectName, "$", faults);
  Intent intent;
  std::optional<ObjectReader> order = reader.OptionalObject("order");
  if (!order) {
    return std::nullopt;
  }
  intent.order = { order->RequiredString("id"), order->RequiredString("kind"),
                   order->OptionalString("argument", "") };
  intent.fencing = static_cast<std::uint64_t>(reader.RequiredInteger("fencing", kFencingRange));
  intent.timeout = Milliseconds(reader.RequiredInteger("timeout_ms", kTimeoutMsRange));
  intent.state =
    static_cast<IntentState>(reader.RequiredChoice("state", { "outstanding", "done" }));
  intent.nonce = reader.RequiredString("nonce");
  return faults.empty() ? std::optional<Intent>(intent) : std::nullopt;
}

} // namespace masticstep::authority
