#ifndef LYCHEESTEP_TARGET_LIST_H
#define LYCHEESTEP_TARGET_LIST_H

#include <map>
#include <set>
#include <string>
#include <vector>

#include "lycheestep/row_store.h"
#include "lycheestep/target_record.h"

namespace lycheestep {

class PlatformDocuments;

// The changes that an update made to the list of usable targets.
struct TargetChanges
{
  // Records of targets that were added or whose record differs.
  std::vector<TargetRecord> m_changed;
  // Targets that are no longer usable.
  std::vector<TargetId> m_gone;
  // Targets whose rows cannot be parsed. These targets are not used.
  std::vector<TargetId> m_malformed;
};

// Keeps the platform's list of targets. A target is usable if the configuration
// in force has its service. Targets rewrite their rows every second or two,
// mostly as a heartbeat. The list reports only real changes, so that the cost
// of a large fleet follows the number of its changes.
class TargetList
{
public:
  // Applies rows of the platform's table of targets that were read or changed.
  TargetChanges OnRows(const std::vector<Row>& aRows,
                       const PlatformDocuments& aDocuments);

  // Sets the services of the configuration in force.
  TargetChanges SetServices(std::set<ServiceName> aServices);

  // Returns the target's record, or null if the list does not have the target.
  const TargetRecord* Find(const TargetId& aTarget) const;

  // Returns the records of all usable targets.
  std::vector<TargetRecord> UsableTargets() const;
  std::size_t UsableTargetCount() const { return m_usable.size(); }

private:
  // Updates whether the target is usable, and adds the change to aChanges.
  // aDiffers says that the target's record was changed or removed.
  void Compare(const TargetId& aTarget, bool aDiffers, TargetChanges& aChanges);

  std::map<TargetId, TargetRecord> m_records;
  std::set<ServiceName> m_services;
  std::set<TargetId> m_usable;
};

} // namespace lycheestep

#endif
