// The part of Leader that sends orders to targets: directly to a small fleet,
// through other hosts, the carriers, to a large one.
#include <algorithm>
#include <chrono>
#include <utility>

#include "boot_clock.h"
#include "commit_writer.h"
#include "jobs.pb.h"
#include "leader.h"
#include "peer_messenger.h"
#include "run_text.h"
#include "sender_limit.h"

namespace lycheestep {

namespace {

// The leader sends orders directly if the fleet has at most this many targets;
// carriers send the orders of a larger fleet.
constexpr std::size_t kMaxDirectTargets = 96;

// A new leader of a large fleet starts to schedule as soon as kMinCarriers
// carriers, or all other hosts if these are fewer, have replied to heartbeats,
// or kCarrierWaitTimeout after it has loaded the stored jobs.
constexpr std::size_t kMinCarriers = 8;
constexpr Duration kCarrierWaitTimeout = std::chrono::milliseconds(400);

} // namespace

bool Leader::CanSendOrders()
{
  if (!m_loaded || m_mayStartScheduling) {
    return m_loaded;
  }
  const std::size_t wanted = std::min(kMinCarriers, m_hosts.size());
  m_mayStartScheduling =
    !IsLargeFleet() || m_orderDispatcher.CountUsableCarriers(m_now) >= wanted ||
    m_now - m_loadedAt >= kCarrierWaitTimeout;
  return m_mayStartScheduling;
}

bool Leader::IsLargeFleet() const
{
  // Targets that the list lacks get orders as well, by their stored addresses.
  const std::size_t targets = std::max(m_targets.UsableTargetCount(),
                                       m_scheduler.Targets().Targets().size());
  return targets > kMaxDirectTargets;
}

DataCentreName Leader::DataCentreOf(const TargetId& aTarget) const
{
  const TargetState* target = m_scheduler.Targets().Find(aTarget);
  return target != nullptr ? target->m_record.m_dataCentre : DataCentreName();
}

void Leader::Start(const StartOrder& aOrder)
{
  RouteTo(aOrder.m_to.m_target).Start(aOrder);
}

void Leader::Stop(const StopOrder& aOrder)
{
  const TargetId& target = aOrder.m_to.m_target;
  if (aOrder.m_route == OrderRoute::kUsual) {
    RouteTo(target).Stop(aOrder);
    return;
  }
  const std::string host =
    m_orderDispatcher.StopByAnotherHost(aOrder, DataCentreOf(target), m_now);
  LogNotable("stop-by-another-host",
             RunFields(aOrder.m_run, target) +
               " host=" + (host.empty() ? "none" : host));
}

void Leader::Pace(const PaceOrder& aOrder)
{
  RouteTo(aOrder.m_to.m_target).Pace(aOrder);
}

void Leader::Hold(const HoldOrder& aOrder, HoldPath aPath)
{
  RouteTo(aOrder.m_to.m_target).Hold(aOrder, aPath);
}

void Leader::Withdraw(const WithdrawOrder& aOrder)
{
  const auto connection = m_directConnections.find(aOrder.m_target);
  if (connection != m_directConnections.end()) {
    connection->second->Withdraw(aOrder);
  }
  m_orderDispatcher.Withdraw(aOrder);
}

void Leader::Forget(const TargetId& aTarget)
{
  m_orderDispatcher.Forget(aTarget);
  CloseDirectConnection(aTarget);
}

void Leader::CloseDirectConnection(const TargetId& aTarget)
{
  const auto connection = m_directConnections.find(aTarget);
  if (connection != m_directConnections.end()) {
    connection->second->Close();
    m_closedConnections.push_back(std::move(connection->second));
    m_directConnections.erase(connection);
  }
}

OrderSender& Leader::RouteTo(const TargetId& aTarget)
{
  if (!IsLargeFleet()) {
    return DirectConnectionTo(aTarget);
  }
  if (!m_orderDispatcher.Assign(aTarget, DataCentreOf(aTarget), m_now)) {
    return DirectConnectionTo(aTarget);
  }
  CloseDirectConnection(aTarget);
  return m_orderDispatcher;
}

OrderSender& Leader::DirectConnectionTo(const TargetId& aTarget)
{
  std::unique_ptr<TargetConnection>& connection = m_directConnections[aTarget];
  if (!connection) {
    CommitWriter& writer = m_dependencies.m_writer;
    connection = std::make_unique<TargetConnection>(
      m_dependencies.m_orders,
      m_dependencies.m_log,
      m_dependencies.m_metrics,
      [&writer] { return BootClockNow() < writer.OrdersValidUntil(); },
      MakeAnswerHandlers(m_dependencies.m_post),
      SenderLimit::OfHost(),
      [this] { return StartsValidUntil(); });
  }
  return *connection;
}

void Leader::SendCarriedOrders(const std::string& aHost,
                               proto::CarriedOrders aOrders)
{
  const auto host = m_hosts.find(aHost);
  if (host == m_hosts.end()) {
    return; // SetHosts gives up the orders of a missing host
  }
  proto::JobPeerMessage message;
  message.mutable_carried_orders()->Swap(&aOrders);
  m_dependencies.m_peers.Send(host->second.m_address, std::move(message));
}

OrderAnswerHandlers Leader::MakeAnswerHandlers(
  std::function<void(std::function<void()>)> aPost)
{
  const auto post = std::move(aPost);
  OrderAnswerHandlers answers;
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
