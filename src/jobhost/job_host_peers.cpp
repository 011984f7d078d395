// The part of JobHost that handles messages of other hosts.
#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "boot_clock.h"
#include "job_host.h"
#include "jobs.pb.h"
#include "order_messages.h"
#include "peer_reply.h"

namespace lycheestep {

namespace {

// A host that carries no orders replies to one of this many heartbeats.
constexpr std::uint32_t kHeartbeatsPerAnswer = 2;

} // namespace

void JobHost::OnPeerMessage(const proto::JobPeerMessage& aMessage)
{
  if (aMessage.has_leader_heartbeat()) {
    OnHeartbeat(aMessage);
  } else if (aMessage.has_advice_call()) {
    ServeAdviceCall(aMessage);
  } else if (aMessage.has_advice_reply()) {
    const proto::AdviceReply& reply = aMessage.advice_reply();
    AdviceAnswer answer;
    answer.m_ticket = reply.ticket();
    answer.m_answered = reply.answered();
    answer.m_validFor = std::chrono::milliseconds(reply.valid_for_ms());
    for (const proto::AdvisedTargetMessage& good : reply.good()) {
      answer.m_good.push_back(
        AdvisedTarget{ TargetId(good.target()), good.permission() });
    }
    m_queue.Add([this, answer] {
      if (m_leader) {
        m_leader->OnAdvice(answer);
      }
    });
  } else if (aMessage.has_store_call()) {
    ServeStoreCall(aMessage);
  } else if (aMessage.has_store_reply()) {
    m_store.OnReply(aMessage.store_reply());
  } else if (aMessage.has_host_alive()) {
    OnConfigVersionHeard(aMessage.host_alive().config_version());
    const Duration clock =
      std::chrono::milliseconds(aMessage.host_alive().clock_ms());
    const bool reachesStore = !aMessage.host_alive().needs_relay();
    const bool canCarry = aMessage.host_alive().bounds_starts() &&
                          aMessage.host_alive().checks_process();
    m_queue.Add([this, host = aMessage.from(), clock, reachesStore, canCarry] {
      if (m_leader) {
        m_leader->OnHostAlive(host, clock, reachesStore, canCarry);
      }
    });
  } else if (aMessage.has_cancellation_notice()) {
    OnCancellationNotice(aMessage);
  } else if (aMessage.has_cancellation_confirmation()) {
    OnCancellationConfirmation(aMessage);
  } else if (aMessage.has_carried_orders()) {
    m_carrier.Carry(aMessage);
  } else if (aMessage.has_carried_answers()) {
    m_queue.Add([this, aMessage] {
      if (m_leader) {
        m_leader->OnCarriedAnswers(aMessage.from(), aMessage.carried_answers());
      }
    });
  }
}

void JobHost::OnHeartbeat(const proto::JobPeerMessage& aMessage)
{
  const proto::LeaderHeartbeat& heartbeat = aMessage.leader_heartbeat();
  OnConfigVersionHeard(heartbeat.config_version());
  const std::vector<std::string> successors(heartbeat.successor().begin(),
                                            heartbeat.successor().end());
  const Duration renewedAgo =
    std::chrono::milliseconds(heartbeat.renewed_ago_ms());
  std::vector<std::string> relays(heartbeat.relay_address().begin(),
                                  heartbeat.relay_address().end());
  relays.erase(
    std::remove(relays.begin(), relays.end(), m_settings.m_peers.Text()),
    relays.end());
  relays.insert(relays.begin(), aMessage.address());
  m_store.SetRelays(std::move(relays));
  if (heartbeat.released()) {
    m_log.WriteUnlimited("leader-released", "peer=" + aMessage.from());
  }
  m_queue.Add([this,
               successors,
               renewedAgo,
               released = heartbeat.released(),
               host = aMessage.from(),
               address = aMessage.address(),
               leader = aMessage.incarnation()] {
    m_election.OnHeartbeat(successors, renewedAgo, released, BootClockNow());
    m_registration.OnHeartbeat(BootClockNow());
    NoteLeader(host, leader, released);
    const bool newLeader = leader != m_leaderIncarnation;
    m_leaderIncarnation = leader;
    m_leaderAddress = address;
    if (newLeader || m_carrier.IsCarrying() ||
        m_heartbeatCount++ % kHeartbeatsPerAnswer == 0) {
      AnswerHeartbeat(address);
    }
  });
}

void JobHost::NoteLeader(const std::string& aHost,
                         std::uint64_t aIncarnation,
                         bool aReleased)
{
  if (aReleased) {
    m_leaderSighting.OnReleased(aIncarnation);
    return;
  }
  const auto fields =
    m_leaderSighting.OnHeartbeat(aHost, aIncarnation, BootClockNow());
  if (fields) {
    m_log.WriteUnlimited("leader-known", *fields);
  }
}

void JobHost::AnswerHeartbeat(const std::string& aLeaderAddress)
{
  proto::JobPeerMessage answer = MakeReplyTo(m_leaderIncarnation);
  answer.mutable_host_alive()->set_clock_ms(
    ToMilliseconds(BootClockNow().time_since_epoch()));
  answer.mutable_host_alive()->set_needs_relay(!m_store.IsDirect());
  answer.mutable_host_alive()->set_bounds_starts(true);
  answer.mutable_host_alive()->set_checks_process(true);
  answer.mutable_host_alive()->set_config_version(m_config.Version());
  m_peers.Send(aLeaderAddress, std::move(answer));
}

void JobHost::ServeStoreCall(const proto::JobPeerMessage& aMessage)
{
  m_storeRelayPool.Run([this, aMessage] {
    proto::JobPeerMessage reply = MakeReplyTo(aMessage.incarnation());
    *reply.mutable_store_reply() = m_store.Serve(aMessage.store_call());
    m_peers.Send(aMessage.address(), std::move(reply));
  });
}

void JobHost::ServeAdviceCall(const proto::JobPeerMessage& aMessage)
{
  const proto::AdviceCall& call = aMessage.advice_call();
  AdviceRequest request;
  request.m_ticket = call.ticket();
  request.m_step = DecodeStepName(call.step());
  for (const std::string& target : call.target()) {
    request.m_targets.emplace_back(target);
  }
  const Duration timeout = std::chrono::milliseconds(call.timeout_ms());
  m_advice.Ask(
    request,
    timeout,
    [this,
     address = aMessage.address(),
     caller = aMessage.incarnation(),
     from = aMessage.from()](const AdviceAnswer& aAnswer) {
      m_log.Write("advice-served",
                  "for=" + from + " call=" + std::to_string(aAnswer.m_ticket) +
                    " answered=" + (aAnswer.m_answered ? "yes" : "no"));
      proto::JobPeerMessage message = MakeReplyTo(caller);
      proto::AdviceReply* reply = message.mutable_advice_reply();
      reply->set_ticket(aAnswer.m_ticket);
      reply->set_answered(aAnswer.m_answered);
      reply->set_valid_for_ms(
        static_cast<std::uint64_t>(ToMilliseconds(aAnswer.m_validFor)));
      for (const AdvisedTarget& good : aAnswer.m_good) {
        proto::AdvisedTargetMessage* entry = reply->add_good();
        entry->set_target(good.m_target.Text());
        entry->set_permission(good.m_permission);
      }
      m_peers.Send(address, std::move(message));
    });
}

} // namespace lycheestep
