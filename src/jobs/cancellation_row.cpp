#include "cancellation_row.h"

#include <chrono>

#include "jobs.pb.h"

namespace lycheestep {

std::string EncodeCancellation(Duration aStoreClock)
{
  proto::CancellationRow row;
  row.set_cancelled_ms(static_cast<std::uint64_t>(ToMilliseconds(aStoreClock)));
  return row.SerializeAsString();
}

std::optional<Duration> DecodeCancelledAt(const std::string& aBytes)
{
  proto::CancellationRow row;
  if (!row.ParseFromString(aBytes) || row.cancelled_ms() == 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(row.cancelled_ms());
}

} // namespace lycheestep
