#ifndef LYCHEESTEP_RESOURCES_H
#define LYCHEESTEP_RESOURCES_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace lycheestep {

// What a target has and a task takes. The order is the index into a vector
// of resources.
enum class ResourceKind : std::size_t
{
  kProcessors,   // thousandths of a core
  kMemory,       // MiB
  kAccelerators, // whole devices
  kSlots,        // tasks at once
  kConnections,  // open connections
};

// Number of values of ResourceKind.
constexpr std::size_t kResourceKinds = 5;

// The name of a resource as the catalogue and explanations write it.
const char* ToString(ResourceKind aKind);

// An amount of every resource. Used alike for a target's capacity, a share
// of it, a task's demand and a team's quota.
class Resources
{
public:
  Resources() = default;
  Resources(std::int64_t aMilliCores,
            std::int64_t aMemoryMib,
            std::int64_t aAccelerators,
            std::int64_t aSlots,
            std::int64_t aConnections)
    : m_amounts{ aMilliCores, aMemoryMib, aAccelerators, aSlots, aConnections }
  {
  }

  // The amount of one resource, in the unit its ResourceKind names.
  std::int64_t Get(ResourceKind aKind) const
  {
    return m_amounts[static_cast<std::size_t>(aKind)];
  }
  void Set(ResourceKind aKind, std::int64_t aAmount)
  {
    m_amounts[static_cast<std::size_t>(aKind)] = aAmount;
  }

  // True when every amount of this is at most that of aRoom.
  bool FitsIn(const Resources& aRoom) const;

  // True when no amount differs from zero.
  bool IsZero() const;

  // True when any amount is below zero.
  bool AnyNegative() const;

  // The largest share of aWhole that this takes in any one resource, as a
  // fraction; resources that aWhole lacks are passed over.
  double DominantShare(const Resources& aWhole) const;

  // Each amount times aNumerator / aDenominator, rounded down.
  Resources Scaled(std::int64_t aNumerator, std::int64_t aDenominator) const;

  // The smaller, or larger, amount of the two in every resource.
  static Resources Min(const Resources& aLeft, const Resources& aRight);
  static Resources Max(const Resources& aLeft, const Resources& aRight);

  Resources& operator+=(const Resources& aOther);
  Resources& operator-=(const Resources& aOther);
  friend Resources operator+(Resources aLeft, const Resources& aRight)
  {
    aLeft += aRight;
    return aLeft;
  }
  friend Resources operator-(Resources aLeft, const Resources& aRight)
  {
    aLeft -= aRight;
    return aLeft;
  }
  friend bool operator==(const Resources& aLeft, const Resources& aRight)
  {
    return aLeft.m_amounts == aRight.m_amounts;
  }
  friend bool operator!=(const Resources& aLeft, const Resources& aRight)
  {
    return !(aLeft == aRight);
  }

  // "4000 processors, 8192 memory, ...": the non-zero amounts, for logs.
  std::string Describe() const;

private:
  std::array<std::int64_t, kResourceKinds> m_amounts{};
};

} // namespace lycheestep

#endif
