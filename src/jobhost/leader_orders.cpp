// The leader's orders to targets: sent by itself to a small fleet, carried by
// other hosts to a large one.
#include <algorithm>
#include <chrono>
#include <utility>

#include "boot_clock.h"
#include "commit_writer.h"
#include "jobs.pb.h"
#include "leader.h"
#include "peer_messenger.h"

namespace lycheestep {

namespace {

// A leader sends orders to so many targets itself; other hosts carry those of
// a larger fleet.
constexpr std::size_t kMostOwnTargets = 96;

// A new leader of a large fleet waits for so many hosts, or for so long,
// before it takes targets.
constexpr std::size_t kCarriersToBegin = 8;
constexpr Duration kWaitForCarriers = std::chrono::milliseconds(400);

} // namespace

bool Leader::CanOrder()
{
  if (!m_loaded || m_mayBegin) {
    return m_loaded;
  }
  const std::size_t wanted = std::min(kCarriersToBegin, m_hosts.size());
  m_mayBegin = !IsLargeFleet() || m_carried.Carriers(m_now) >= wanted ||
               m_now - m_loadedAt >= kWaitForCarriers;
  return m_mayBegin;
}

bool Leader::IsLargeFleet() const
{
  return m_targets.UsableCount() > kMostOwnTargets;
}

void Leader::Start(const StartOrder& aOrder)
{
  LineTo(aOrder.m_to.m_target).Start(aOrder);
}

void Leader::Stop(const StopOrder& aOrder)
{
  LineTo(aOrder.m_to.m_target).Stop(aOrder);
}

void Leader::Pace(const PaceOrder& aOrder)
{
  LineTo(aOrder.m_to.m_target).Pace(aOrder);
}

void Leader::Hold(const HoldOrder& aOrder, HoldPath aPath)
{
  LineTo(aOrder.m_to.m_target).Hold(aOrder, aPath);
}

void Leader::Forget(const TargetId& aTarget)
{
  m_carried.Forget(aTarget);
  CloseOwnLine(aTarget);
}

void Leader::CloseOwnLine(const TargetId& aTarget)
{
  const auto line = m_lines.find(aTarget);
  if (line != m_lines.end()) {
    line->second->Close();
    m_closedLines.push_back(std::move(line->second));
    m_lines.erase(line);
  }
}

OrderLine& Leader::LineTo(const TargetId& aTarget)
{
  if (!IsLargeFleet()) {
    return OwnLineTo(aTarget);
  }
  const TargetRecord* record = m_targets.Find(aTarget);
  const DataCentreName dataCentre =
    record != nullptr ? record->m_dataCentre : DataCentreName();
  if (!m_carried.Assign(aTarget, dataCentre, m_now)) {
    return OwnLineTo(aTarget);
  }
  CloseOwnLine(aTarget);
  return m_carried;
}

OrderLine& Leader::OwnLineTo(const TargetId& aTarget)
{
  std::unique_ptr<TargetLine>& line = m_lines[aTarget];
  if (!line) {
    CommitWriter& writer = m_with.m_writer;
    line = std::make_unique<TargetLine>(
      m_with.m_orders,
      [&writer] { return BootClockNow() < writer.ValidUntil(); },
      AnswersOf(m_with.m_post));
  }
  return *line;
}

void Leader::SendCarriedOrders(const std::string& aHost,
                               proto::CarriedOrders aOrders)
{
  const auto host = m_hosts.find(aHost);
  if (host == m_hosts.end()) {
    return; // its orders are given up with it
  }
  proto::JobPeerMessage message;
  message.mutable_carried_orders()->Swap(&aOrders);
  m_with.m_peers.Send(host->second.m_address, std::move(message));
}

TargetAnswers Leader::AnswersOf(
  std::function<void(std::function<void()>)> aPost)
{
  const auto post = std::move(aPost);
  TargetAnswers answers;
  answers.m_started = [this, post](const StartOrder& aOrder,
                                   const OrderAnswer& aAnswer) {
    post([this, aOrder, aAnswer] {
      m_scheduler.OnStartAnswer(aOrder, aAnswer, m_now);
    });
  };
  answers.m_stopped = [this, post](const StopOrder& aOrder,
                                   const OrderAnswer& aAnswer) {
    post([this, aOrder, aAnswer] {
      m_scheduler.OnStopAnswer(aOrder, aAnswer, m_now);
    });
  };
  answers.m_held = [this, post](const HoldOrder& aOrder,
                                HoldPath aPath,
                                const HoldAnswer& aAnswer) {
    post([this, aOrder, aPath, aAnswer] {
      m_scheduler.OnHoldAnswer(aOrder, aPath, aAnswer, m_now);
    });
  };
  return answers;
}

} // namespace lycheestep
