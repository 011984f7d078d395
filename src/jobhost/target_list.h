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

// What became different in the platform's list of targets.
struct TargetChanges
{
  // New, or other than before.
  std::vector<TargetRecord> m_changed;
  std::vector<TargetId> m_gone;
  // Rows that can't be read; their targets are not used.
  std::vector<TargetId> m_malformed;
};

// The platform's list of targets, of services that the configuration has.
// Targets write their rows every second or two, mostly to say that they live;
// the list tells apart what has really changed, so that the cost of a large
// fleet follows its changes.
class TargetList
{
public:
  // aIsSnapshot: the rows are the whole list, else changes of it.
  TargetChanges OnRows(const std::vector<Row>& aRows,
                       bool aIsSnapshot,
                       const PlatformDocuments& aDocuments);

  // The services of the configuration in force.
  TargetChanges SetServices(std::set<ServiceName> aServices);

  // Null if the list does not have it.
  const TargetRecord* Find(const TargetId& aTarget) const;

  // The targets of the services.
  std::vector<TargetRecord> UsableTargets() const;
  std::size_t UsableTargetCount() const { return m_usable.size(); }

private:
  void Compare(const TargetId& aTarget, bool aDiffers, TargetChanges& aChanges);

  std::map<TargetId, TargetRecord> m_records;
  std::set<ServiceName> m_services;
  std::set<TargetId> m_usable;
};

} // namespace lycheestep

#endif
