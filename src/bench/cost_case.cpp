#include "cost_case.h"

#include <string>
#include <utility>

namespace lycheestep::bench {

namespace {

constexpr std::size_t kKinds = 30;
constexpr std::size_t kTasksPerTarget = 6;
constexpr std::size_t kManyWaiting = 1000000;
const Resources kCapacity(30000, 133120, 0, 8, 64);

} // namespace

Fleet WholeFleet(const std::vector<TargetListing>& aTargets)
{
  Fleet fleet;
  fleet.Replace(aTargets);
  for (const TargetListing& target : aTargets) {
    Grant& grant = fleet.Find(target.m_id)->m_grant;
    grant.m_main = target.m_capacity;
    grant.m_mainUntil = TimePoint::max();
  }
  return fleet;
}

CostCase::CostCase(std::size_t aTargets, std::size_t aWaiting)
  : m_catalogue(std::make_shared<Catalogue>())
  , m_queue(kManyWaiting)
  , m_placer(16)
  , m_random(1)
  , m_now(std::chrono::seconds(1))
{
  std::vector<TargetListing> listings;
  for (std::size_t i = 0; i < aTargets; ++i) {
    TargetListing listing;
    listing.m_id = TargetId("t" + std::to_string(i));
    listing.m_rack = RackName("r" + std::to_string(i / 6));
    listing.m_capacity = kCapacity;
    listings.push_back(listing);
  }
  m_fleet = WholeFleet(listings);
  for (std::size_t i = 0; i < kKinds; ++i) {
    WorkKind kind;
    kind.m_name = KindName("kind" + std::to_string(i));
    kind.m_class = static_cast<WorkClass>(i % kWorkClasses);
    kind.m_demand =
      Resources(1000 + 100 * static_cast<std::int64_t>(i), 4096, 0, 1, 1);
    kind.m_queueLimit = kManyWaiting;
    m_catalogue->m_kinds.push_back(kind);
  }
  m_queue.SetCatalogue(m_catalogue);
  m_queue.SetCellCapacity(m_fleet.TotalCapacity());
  PlaceMany(aTargets * kTasksPerTarget);
  for (std::size_t i = 0; i < aWaiting; ++i) {
    OfferOne();
  }
}

double CostCase::PlaceMany(std::size_t aCount)
{
  const std::size_t full = m_fleet.Targets().size() * kTasksPerTarget;
  std::size_t compared = 0;
  for (std::size_t i = 0; i < aCount; ++i) {
    const WorkKind& kind = m_catalogue->m_kinds[i % kKinds];
    const Placement placement = m_placer.Choose(
      m_fleet, kind, kind.m_demand, m_catalogue->m_weights, m_now, m_random);
    compared += placement.m_candidates + placement.m_visits;
    if (!placement.Found()) {
      continue;
    }
    m_fleet.Take(placement.m_target, kind.m_demand);
    m_running.emplace_back(placement.m_target, kind.m_demand);
    if (m_running.size() > full) {
      auto& ended = m_running[m_random() % m_running.size()];
      m_fleet.GiveBack(ended.first, ended.second);
      std::swap(ended, m_running.back());
      m_running.pop_back();
    }
  }
  return static_cast<double>(compared) / static_cast<double>(aCount);
}

double CostCase::StartMany(std::size_t aCount)
{
  const std::uint64_t before = m_queue.Comparisons();
  std::size_t compared = 0;
  for (std::size_t i = 0; i < aCount; ++i) {
    const auto work = m_queue.Next(m_now);
    if (!work) {
      break;
    }
    const WorkKind& kind = *m_catalogue->FindKind(work->m_kind);
    const Placement placement = m_placer.Choose(
      m_fleet, kind, kind.m_demand, m_catalogue->m_weights, m_now, m_random);
    compared += placement.m_candidates + placement.m_visits;
    if (placement.Found()) {
      m_fleet.Take(placement.m_target, kind.m_demand);
      m_queue.Started(work->m_kind, kind.m_demand, 1, m_now);
      m_fleet.GiveBack(placement.m_target, kind.m_demand);
      m_queue.Ended(work->m_kind, kind.m_demand, 1);
    } else {
      m_queue.PutBack(*work, placement.m_why, m_now);
    }
    OfferOne();
  }
  return static_cast<double>(m_queue.Comparisons() - before + compared) /
         static_cast<double>(aCount);
}

void CostCase::CancelMany(std::size_t aCount)
{
  for (std::size_t i = 0; i < aCount; ++i) {
    m_queue.Remove(RequestId("r" + std::to_string(m_cancelled++)));
  }
}

void CostCase::OfferOne()
{
  WaitingWork work;
  work.m_id = RequestId("r" + std::to_string(m_offered));
  work.m_kind = m_catalogue->m_kinds[m_offered % kKinds].m_name;
  work.m_arrived = m_now;
  work.m_resume = true;
  ++m_offered;
  m_queue.Offer(work, m_now);
}

} // namespace lycheestep::bench
