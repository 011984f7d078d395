#include "boot_clock.h"

#include <ctime>

namespace lycheestep {

TimePoint BootClockNow()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::seconds(time.tv_sec) +
                   std::chrono::nanoseconds(time.tv_nsec));
}

WallTime WallClockNow()
{
  return std::chrono::duration_cast<WallTime>(
    std::chrono::system_clock::now().time_since_epoch());
}

} // namespace lycheestep
