#include "local_cluster.h"

#include <algorithm>
#include <chrono>
#include <string>

#include "lycheestep/catalogue.h"
#include "lycheestep/process_settings.h"

namespace lycheestep {

namespace {

constexpr int kLocalTargetCount = 6;
const Resources& LocalCapacity()
{
  static const Resources kCapacity(30000, 133120, 2, 8, 64);
  return kCapacity;
}

// Longer run times are shortened to this, so that a trial of "lycheestep local"
// does not take minutes.
constexpr Duration kMaxLocalRunTime = std::chrono::seconds(1);

} // namespace

std::vector<TargetListing> MakeLocalTargets(const ProcessSettings& aSettings)
{
  std::vector<TargetListing> listings;
  for (int i = 1; i <= kLocalTargetCount; ++i) {
    TargetListing listing;
    listing.m_id = TargetId("local-target-" + std::to_string(i));
    listing.m_dataCentre = aSettings.m_scheduler.m_dataCentre;
    listing.m_rack = RackName("local-rack");
    listing.m_address = "local";
    listing.m_capacity = LocalCapacity();
    listings.push_back(listing);
  }
  return listings;
}

TaskBehaviour MakeLocalTaskBehaviour(const Catalogue& aCatalogue,
                                     const TaskStart& aStart)
{
  TaskBehaviour behaviour;
  behaviour.m_usage = aStart.m_demand;
  behaviour.m_answer =
    aStart.m_kind.Text() + " " + aStart.m_request.Text() + ": " + aStart.m_body;
  behaviour.m_runTime = kMaxLocalRunTime;
  const WorkKind* kind = aCatalogue.FindKind(aStart.m_kind);
  if (kind) {
    behaviour.m_runTime = kind->m_form == WorkForm::kService
                            ? Duration::max()
                            : std::min(kind->m_runTime, kMaxLocalRunTime);
  }
  return behaviour;
}

} // namespace lycheestep
