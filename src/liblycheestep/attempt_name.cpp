#include "attempt_name.h"

#include <cstdlib>
#include <string>

namespace lycheestep {

AttemptId MakeAttemptId(const EntryId& aEntry,
                        std::uint64_t aEpoch,
                        std::uint64_t aNumber)
{
  return AttemptId(aEntry.Text() + "/" + std::to_string(aEpoch) + "/" +
                   std::to_string(aNumber));
}

AttemptOwner OwnerOf(const AttemptId& aAttempt)
{
  const std::string& text = aAttempt.Text();
  const std::size_t last = text.rfind('/');
  if (last == std::string::npos || last == 0) {
    return {};
  }
  const std::size_t middle = text.rfind('/', last - 1);
  if (middle == std::string::npos) {
    return {};
  }
  AttemptOwner owner;
  owner.m_entry = EntryId(text.substr(0, middle));
  owner.m_epoch = std::strtoull(text.c_str() + middle + 1, nullptr, 10);
  return owner;
}

} // namespace lycheestep
