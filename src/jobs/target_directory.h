#ifndef LYCHEESTEP_TARGET_DIRECTORY_H
#define LYCHEESTEP_TARGET_DIRECTORY_H

#include <cstddef>
#include <functional>
#include <map>
#include <vector>

#include "lycheestep/row_store.h"
#include "lycheestep/time_types.h"
#include "target_address.h"

namespace lycheestep {

// Keeps the stored addresses of the targets that are given work. The address of
// a target is stored no later than the first dispatch to it, so that every
// later leader can reach each run that was ever started.
class TargetDirectory
{
public:
  // What one commit writes and removes.
  struct Changes
  {
    std::vector<RowWrite> m_writes;
    std::vector<RowKey> m_removals;

    std::size_t Count() const { return m_writes.size() + m_removals.size(); }
  };

  // Notes an address that an earlier leader stored.
  void OnRead(const TargetAddress& aAddress);

  // Removes a row that can't be read, unless an address is added.
  void OnUnreadable(const TargetId& aTarget);

  // Returns true if an address of the target is stored or will be.
  bool Has(const TargetId& aTarget) const;

  // Stores the address with one of the next commits, unless it is stored. Does
  // nothing if there is no address.
  void Add(const TargetAddress& aAddress);

  // Removes the rows of targets for which aIsNeeded has been false at each call
  // for aDelay. Called at least every few seconds.
  void RemoveUnneeded(const std::function<bool(const TargetId&)>& aIsNeeded,
                      Duration aDelay,
                      TimePoint aNow);

  // Returns true if there is anything to write or remove.
  bool HasChanges() const { return m_changed > 0; }

  // Moves at most aMaxRows changes into the commit that begins now.
  Changes TakeChanges(std::size_t aMaxRows);

  // The commit took effect, or never will.
  void OnCommitted();
  void OnCommitRejected();

private:
  struct Entry
  {
    TargetAddress m_address;
    // True if the row does not have the address yet, or has to be removed.
    bool m_isChanged = false;
    bool m_isRemoved = false;
    // When aIsNeeded was first false; the default TimePoint if it was true.
    TimePoint m_unneededSince;
  };

  void MarkChanged(Entry& aEntry);

  std::map<TargetId, Entry> m_entries;
  // The number of entries that are changed.
  std::size_t m_changed = 0;
  // The targets whose rows are in the commit under way.
  std::vector<TargetId> m_committing;
};

} // namespace lycheestep

#endif
