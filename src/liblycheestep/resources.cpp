#include "lycheestep/resources.h"

#include <algorithm>

namespace lycheestep {

const char* ToString(ResourceKind aKind)
{
  static constexpr std::array<const char*, kResourceKinds> kNames{
    "processors", "memory", "accelerators", "slots", "connections"
  };
  return kNames[static_cast<std::size_t>(aKind)];
}

bool Resources::FitsIn(const Resources& aRoom) const
{
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    if (m_amounts[i] > aRoom.m_amounts[i]) {
      return false;
    }
  }
  return true;
}

bool Resources::IsZero() const
{
  return std::all_of(m_amounts.begin(), m_amounts.end(), [](auto aAmount) {
    return aAmount == 0;
  });
}

bool Resources::AnyNegative() const
{
  return std::any_of(m_amounts.begin(), m_amounts.end(), [](auto aAmount) {
    return aAmount < 0;
  });
}

double Resources::DominantShare(const Resources& aWhole) const
{
  double share = 0.0;
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    if (aWhole.m_amounts[i] > 0) {
      share = std::max(share,
                       static_cast<double>(m_amounts[i]) /
                         static_cast<double>(aWhole.m_amounts[i]));
    }
  }
  return share;
}

Resources Resources::Scaled(std::int64_t aNumerator,
                            std::int64_t aDenominator) const
{
  Resources scaled;
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    scaled.m_amounts[i] = m_amounts[i] * aNumerator / aDenominator;
  }
  return scaled;
}

Resources Resources::Min(const Resources& aLeft, const Resources& aRight)
{
  Resources smaller;
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    smaller.m_amounts[i] = std::min(aLeft.m_amounts[i], aRight.m_amounts[i]);
  }
  return smaller;
}

Resources Resources::Max(const Resources& aLeft, const Resources& aRight)
{
  Resources larger;
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    larger.m_amounts[i] = std::max(aLeft.m_amounts[i], aRight.m_amounts[i]);
  }
  return larger;
}

Resources& Resources::operator+=(const Resources& aOther)
{
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    m_amounts[i] += aOther.m_amounts[i];
  }
  return *this;
}

Resources& Resources::operator-=(const Resources& aOther)
{
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    m_amounts[i] -= aOther.m_amounts[i];
  }
  return *this;
}

std::string Resources::Describe() const
{
  std::string text;
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    if (m_amounts[i] == 0) {
      continue;
    }
    if (!text.empty()) {
      text += ", ";
    }
    text += std::to_string(m_amounts[i]);
    text += ' ';
    text += ToString(static_cast<ResourceKind>(i));
  }
  return text.empty() ? "nothing" : text;
}

} // namespace lycheestep
