#include "peer_directory.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "backoff.h"
#include "peer.pb.h"

namespace lycheestep {

namespace {

constexpr std::uint32_t kProtocolVersion = 1;

// A request with less time left is not worth the way to a peer and back.
constexpr Duration kLeastForwardTime = std::chrono::milliseconds(20);

PeerLoad LoadOf(const proto::Heartbeat& aHeartbeat)
{
  PeerLoad load;
  load.m_catalogueVersion = aHeartbeat.catalogue_version();
  load.m_leaving = aHeartbeat.leaving();
  load.m_free = FromProto(aHeartbeat.free());
  load.m_largestFree = FromProto(aHeartbeat.largest_free());
  load.m_waiting = aHeartbeat.waiting();
  return load;
}

} // namespace

Resources FromProto(const proto::ResourceAmounts& aAmounts)
{
  Resources resources;
  const std::size_t count = std::min<std::size_t>(
    kResourceKinds, static_cast<std::size_t>(aAmounts.amount_size()));
  for (std::size_t i = 0; i < count; ++i) {
    resources.Set(static_cast<ResourceKind>(i),
                  aAmounts.amount(static_cast<int>(i)));
  }
  return resources;
}

void ToProto(const Resources& aResources, proto::ResourceAmounts* aAmounts)
{
  aAmounts->clear_amount();
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    aAmounts->add_amount(aResources.Get(static_cast<ResourceKind>(i)));
  }
}

PeerDirectory::PeerDirectory(const SchedulerSettings& aSettings)
  : m_self(aSettings.m_entry)
  , m_dataCentre(aSettings.m_dataCentre)
  , m_timeout(aSettings.m_peerTimeout)
{
  for (const PeerAddress& address : aSettings.m_peers) {
    if (address.m_id == m_self) {
      continue;
    }
    PeerEntry& peer = m_peers[address.m_id];
    peer.m_id = address.m_id;
    peer.m_dataCentre = address.m_dataCentre;
    peer.m_address = address.m_address;
  }
}

void PeerDirectory::Tick(CoreContext& aContext)
{
  if (aContext.m_now < m_nextHeartbeat) {
    return;
  }
  m_nextHeartbeat =
    aContext.m_now +
    Jittered(aContext.m_random, aContext.m_settings.m_heartbeatPeriod);
  proto::PeerMessage message;
  proto::Heartbeat* heartbeat = message.mutable_heartbeat();
  heartbeat->set_catalogue_version(m_own.m_catalogueVersion);
  heartbeat->set_leaving(m_own.m_leaving);
  heartbeat->set_waiting(m_own.m_waiting);
  ToProto(m_own.m_free, heartbeat->mutable_free());
  ToProto(m_own.m_largestFree, heartbeat->mutable_largest_free());
  SendToAll(aContext, message);
}

void PeerDirectory::HandleMessage(CoreContext& aContext,
                                  const EntryId& aFrom,
                                  const proto::PeerMessage& aMessage)
{
  if (aFrom == m_self || aFrom.Empty()) {
    return;
  }
  PeerEntry& peer = m_peers[aFrom];
  peer.m_id = aFrom;
  peer.m_heardAt = aContext.m_now;
  peer.m_incarnation = aMessage.incarnation();
  if (!aMessage.data_centre().empty()) {
    peer.m_dataCentre = DataCentreName(aMessage.data_centre());
  }
  if (!aMessage.address().empty()) {
    peer.m_address = aMessage.address();
  }
  if (aMessage.has_heartbeat()) {
    peer.m_load = LoadOf(aMessage.heartbeat());
  }
}

void PeerDirectory::NoteAddress(const EntryId& aEntry,
                                const std::string& aAddress)
{
  if (aEntry == m_self) {
    return;
  }
  PeerEntry& peer = m_peers[aEntry];
  peer.m_id = aEntry;
  peer.m_dataCentre = m_dataCentre;
  peer.m_address = aAddress;
}

void PeerDirectory::Send(CoreContext& aContext,
                         const EntryId& aTo,
                         proto::PeerMessage aMessage)
{
  auto found = m_peers.find(aTo);
  if (found == m_peers.end() || found->second.m_address.empty()) {
    return;
  }
  while (m_incarnation == 0) {
    m_incarnation = aContext.m_random();
  }
  aMessage.set_protocol_version(kProtocolVersion);
  aMessage.set_from(m_self.Text());
  aMessage.set_data_centre(m_dataCentre.Text());
  aMessage.set_address(aContext.m_settings.m_peerAddress);
  aMessage.set_incarnation(m_incarnation);
  ++m_messagesSent;
  aContext.m_actions.emplace_back(SendPeerMessage{
    aTo,
    found->second.m_address,
    std::make_shared<const proto::PeerMessage>(std::move(aMessage)) });
}

void PeerDirectory::SendToAll(CoreContext& aContext,
                              const proto::PeerMessage& aMessage)
{
  for (const auto& [id, peer] : m_peers) {
    Send(aContext, id, aMessage);
  }
}

bool PeerDirectory::IsAlive(const EntryId& aPeer, TimePoint aNow) const
{
  const PeerEntry* peer = Find(aPeer);
  return peer != nullptr && peer->m_heardAt != TimePoint{} &&
         aNow - peer->m_heardAt < m_timeout;
}

std::vector<const PeerEntry*> PeerDirectory::Alive(TimePoint aNow) const
{
  std::vector<const PeerEntry*> alive;
  for (const auto& [id, peer] : m_peers) {
    if (IsAlive(id, aNow)) {
      alive.push_back(&peer);
    }
  }
  return alive;
}

std::vector<EntryId> PeerDirectory::AliveHere(TimePoint aNow) const
{
  std::vector<EntryId> here;
  for (const PeerEntry* peer : Alive(aNow)) {
    if (peer->m_dataCentre == m_dataCentre) {
      here.push_back(peer->m_id);
    }
  }
  return here;
}

std::optional<EntryId> PeerDirectory::ChooseForward(CoreContext& aContext,
                                                    const Resources& aDemand,
                                                    int aHops,
                                                    Duration aRemaining)
{
  if (aHops >= aContext.m_settings.m_hopLimit ||
      aRemaining < kLeastForwardTime) {
    return std::nullopt;
  }
  std::vector<PeerEntry*> here;
  std::vector<PeerEntry*> elsewhere;
  for (auto& [id, peer] : m_peers) {
    const PeerLoad& load = peer.m_load;
    const bool room =
      aDemand.FitsIn(load.m_largestFree) && aDemand.FitsIn(load.m_free);
    if (IsAlive(id, aContext.m_now) && !load.m_leaving && room) {
      (peer.m_dataCentre == m_dataCentre ? here : elsewhere).push_back(&peer);
    }
  }
  const std::vector<PeerEntry*>& pool = here.empty() ? elsewhere : here;
  if (pool.empty()) {
    return std::nullopt;
  }
  // The better of two random ones: the summaries are old, so all hosts must
  // not choose the same one.
  PeerEntry* chosen = pool[aContext.m_random() % pool.size()];
  PeerEntry* other = pool[aContext.m_random() % pool.size()];
  if (other->m_load.m_waiting < chosen->m_load.m_waiting) {
    chosen = other;
  }
  chosen->m_load.m_free -= aDemand;
  return chosen->m_id;
}

const PeerEntry* PeerDirectory::Find(const EntryId& aPeer) const
{
  auto found = m_peers.find(aPeer);
  return found == m_peers.end() ? nullptr : &found->second;
}

} // namespace lycheestep
