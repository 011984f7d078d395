#ifndef LYCHEESTEP_ID_H
#define LYCHEESTEP_ID_H

#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace lycheestep {

// A name that can't be mixed up with a name of another sort. Tag is an empty
// type that only tells the sorts apart; the text is UTF-8 and compared byte by
// byte.
template<class Tag>
class Id
{
public:
  Id() = default;
  explicit Id(std::string aText)
    : m_text(std::move(aText))
  {
  }

  // The text as it is written in the catalogue, in rows and on the wire.
  const std::string& Text() const { return m_text; }

  // True for a default-constructed id, which names nothing.
  bool Empty() const { return m_text.empty(); }

  friend bool operator==(const Id& aLeft, const Id& aRight)
  {
    return aLeft.m_text == aRight.m_text;
  }
  friend bool operator!=(const Id& aLeft, const Id& aRight)
  {
    return !(aLeft == aRight);
  }
  friend bool operator<(const Id& aLeft, const Id& aRight)
  {
    return aLeft.m_text < aRight.m_text;
  }
  friend std::ostream& operator<<(std::ostream& aStream, const Id& aId)
  {
    return aStream << aId.m_text;
  }

private:
  std::string m_text;
};

// A request's idempotency key, given by the caller or generated.
using RequestId = Id<struct RequestTag>;
// One try to run one task of a request; unique for all time.
using AttemptId = Id<struct AttemptTag>;
// A target: a worker that runs tasks.
using TargetId = Id<struct TargetTag>;
// One entry host process.
using EntryId = Id<struct EntryTag>;
// A rack of targets; unique within its data centre.
using RackName = Id<struct RackTag>;
// A data centre.
using DataCentreName = Id<struct DataCentreTag>;
// A kind of work in the catalogue.
using KindName = Id<struct KindTag>;
// A team that owns kinds of work and has a quota.
using TeamName = Id<struct TeamTag>;
// A customer of the firm; may hold a promise.
using CustomerName = Id<struct CustomerTag>;

} // namespace lycheestep

namespace std {

template<class Tag>
struct hash<lycheestep::Id<Tag>>
{
  size_t operator()(const lycheestep::Id<Tag>& aId) const noexcept
  {
    return hash<string>()(aId.Text());
  }
};

} // namespace std

#endif
