#include "lycheestep/target_orders.h"

namespace lycheestep {

const char* ToString(OrderRoute aRoute)
{
  return aRoute == OrderRoute::kUsual ? "usual" : "another-host";
}

const char* ToString(OrderStatus aStatus)
{
  switch (aStatus) {
    case OrderStatus::kDone:
      return "done";
    case OrderStatus::kFenced:
      return "fenced";
    case OrderStatus::kOldRun:
      return "old-run";
    case OrderStatus::kLeaseOver:
      return "lease-over";
    case OrderStatus::kNoRoom:
      return "no-room";
    case OrderStatus::kTicketRefused:
      return "ticket-refused";
    case OrderStatus::kUnhealthy:
      return "unhealthy";
    case OrderStatus::kMalformed:
      return "malformed";
    case OrderStatus::kOtherTarget:
      return "other-target";
    case OrderStatus::kNotSent:
      return "not-sent";
    case OrderStatus::kUnknown:
      return "no-answer";
    case OrderStatus::kWithdrawn:
      return "withdrawn";
  }
  return "";
}

const char* ToString(RunEnd aEnd)
{
  switch (aEnd) {
    case RunEnd::kDone:
      return "done";
    case RunEnd::kFailed:
      return "failed";
    case RunEnd::kStopped:
      return "stopped";
    case RunEnd::kLapsed:
      return "lapsed";
    case RunEnd::kGangBroken:
      return "gang-broken";
    case RunEnd::kGangAlone:
      return "gang-alone";
  }
  return "";
}

} // namespace lycheestep
