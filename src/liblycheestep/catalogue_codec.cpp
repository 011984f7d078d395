#include "catalogue_codec.h"

#include <chrono>
#include <set>
#include <utility>
#include <vector>

#include <xxhash.h>

#include "lycheestep/catalogue.h"
#include "peer_directory.h"
#include "rows.pb.h"

namespace lycheestep {

namespace {

std::uint64_t ToMicroseconds(Duration aDuration)
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(aDuration).count());
}

Duration FromMicroseconds(std::uint64_t aMicroseconds)
{
  return std::chrono::microseconds(aMicroseconds);
}

void ToBody(const Team& aTeam, proto::TeamBody* aBody)
{
  aBody->set_name(aTeam.m_name.Text());
  aBody->set_quota(aTeam.m_quota);
  aBody->set_floor(aTeam.m_floor);
}

Team FromBody(const proto::TeamBody& aBody)
{
  Team team;
  team.m_name = TeamName(aBody.name());
  team.m_quota = aBody.quota();
  team.m_floor = aBody.floor();
  return team;
}

void ToBody(const Customer& aCustomer, proto::CustomerBody* aBody)
{
  aBody->set_name(aCustomer.m_name.Text());
  aBody->set_promised(aCustomer.m_promised);
  aBody->set_contact(aCustomer.m_contact);
  for (const KindName& kind : aCustomer.m_kinds) {
    aBody->add_kinds(kind.Text());
  }
}

Customer FromBody(const proto::CustomerBody& aBody)
{
  Customer customer;
  customer.m_name = CustomerName(aBody.name());
  customer.m_promised = aBody.promised();
  customer.m_contact = aBody.contact();
  for (const std::string& kind : aBody.kinds()) {
    customer.m_kinds.emplace_back(kind);
  }
  return customer;
}

void ToBody(const WorkKind& aKind, proto::KindBody* aBody)
{
  aBody->set_name(aKind.m_name.Text());
  aBody->set_owner(aKind.m_owner);
  aBody->set_team(aKind.m_team.Text());
  aBody->set_work_class(static_cast<std::uint32_t>(aKind.m_class));
  aBody->set_form(static_cast<std::uint32_t>(aKind.m_form));
  ToProto(aKind.m_demand, aBody->mutable_demand());
  aBody->set_tasks(aKind.m_tasks);
  aBody->set_repeatable(aKind.m_repeatable);
  aBody->set_durable(aKind.m_durable);
  aBody->set_checkpointable(aKind.m_checkpointable);
  aBody->set_deadline_us(ToMicroseconds(aKind.m_deadline));
  aBody->set_run_time_us(ToMicroseconds(aKind.m_runTime));
  aBody->set_run_time_limit_us(ToMicroseconds(aKind.m_runTimeLimit));
  aBody->set_queue_limit(aKind.m_queueLimit);
  aBody->set_running_limit(aKind.m_runningLimit);
}

WorkKind FromBody(const proto::KindBody& aBody)
{
  WorkKind kind;
  kind.m_name = KindName(aBody.name());
  kind.m_owner = aBody.owner();
  kind.m_team = TeamName(aBody.team());
  kind.m_class = static_cast<WorkClass>(aBody.work_class());
  kind.m_form = static_cast<WorkForm>(aBody.form());
  kind.m_demand = FromProto(aBody.demand());
  kind.m_tasks = aBody.tasks();
  kind.m_repeatable = aBody.repeatable();
  kind.m_durable = aBody.durable();
  kind.m_checkpointable = aBody.checkpointable();
  kind.m_deadline = FromMicroseconds(aBody.deadline_us());
  kind.m_runTime = FromMicroseconds(aBody.run_time_us());
  kind.m_runTimeLimit = FromMicroseconds(aBody.run_time_limit_us());
  kind.m_queueLimit = aBody.queue_limit();
  kind.m_runningLimit = aBody.running_limit();
  return kind;
}

// Every enumeration value and number must be one that this program knows.
bool IsKnown(const proto::KindBody& aBody)
{
  return aBody.work_class() < kWorkClasses &&
         aBody.form() <= static_cast<std::uint32_t>(WorkForm::kService) &&
         aBody.tasks() > 0;
}

// The fields outside the lists.
void HeadToBody(const Catalogue& aCatalogue, proto::CatalogueBody* aBody)
{
  aBody->set_version(aCatalogue.m_version);
  aBody->set_cell(aCatalogue.m_cell);
  aBody->set_waiting_weight(aCatalogue.m_weights.m_waiting);
  aBody->set_packing_weight(aCatalogue.m_weights.m_packing);
  for (const double floor : aCatalogue.m_classFloors) {
    aBody->add_class_floors(floor);
  }
}

bool HeadFromBody(const proto::CatalogueBody& aBody, Catalogue* aCatalogue)
{
  if (aBody.class_floors_size() != static_cast<int>(kWorkClasses)) {
    return false;
  }
  aCatalogue->m_version = aBody.version();
  aCatalogue->m_cell = aBody.cell();
  aCatalogue->m_weights = { aBody.waiting_weight(), aBody.packing_weight() };
  for (std::size_t i = 0; i < kWorkClasses; ++i) {
    aCatalogue->m_classFloors[i] = aBody.class_floors(static_cast<int>(i));
  }
  return true;
}

// Adds the parts of aTo that aFrom lacks or has otherwise to aChanged, and
// the names that only aFrom has to aRemoved.
template<class Part, class Body>
void DiffParts(const std::vector<Part>& aFrom,
               const std::vector<Part>& aTo,
               google::protobuf::RepeatedPtrField<Body>* aChanged,
               google::protobuf::RepeatedPtrField<std::string>* aRemoved)
{
  std::set<std::string> same;
  std::set<std::string> kept;
  for (const Part& part : aFrom) {
    Body body;
    ToBody(part, &body);
    same.insert(body.SerializeAsString());
  }
  for (const Part& part : aTo) {
    Body body;
    ToBody(part, &body);
    kept.insert(part.m_name.Text());
    if (same.count(body.SerializeAsString()) == 0) {
      *aChanged->Add() = std::move(body);
    }
  }
  for (const Part& part : aFrom) {
    if (kept.count(part.m_name.Text()) == 0) {
      *aRemoved->Add() = part.m_name.Text();
    }
  }
}

// Replaces parts of the same name in place and appends new ones.
template<class Part, class Body>
void PatchParts(const google::protobuf::RepeatedPtrField<Body>& aChanged,
                const google::protobuf::RepeatedPtrField<std::string>& aRemoved,
                std::vector<Part>* aParts)
{
  const std::set<std::string> removed(aRemoved.begin(), aRemoved.end());
  std::vector<Part> next;
  for (Part& part : *aParts) {
    if (removed.count(part.m_name.Text()) == 0) {
      next.push_back(std::move(part));
    }
  }
  for (const Body& body : aChanged) {
    Part part = FromBody(body);
    bool replaced = false;
    for (Part& present : next) {
      if (present.m_name == part.m_name) {
        present = part;
        replaced = true;
      }
    }
    if (!replaced) {
      next.push_back(std::move(part));
    }
  }
  *aParts = std::move(next);
}

bool AllKnown(const proto::CatalogueBody& aBody)
{
  for (const proto::KindBody& kind : aBody.kinds()) {
    if (!IsKnown(kind)) {
      return false;
    }
  }
  return true;
}

} // namespace

std::string EncodeCatalogue(const Catalogue& aCatalogue)
{
  proto::CatalogueBody body;
  HeadToBody(aCatalogue, &body);
  for (const Team& team : aCatalogue.m_teams) {
    ToBody(team, body.add_teams());
  }
  for (const Customer& customer : aCatalogue.m_customers) {
    ToBody(customer, body.add_customers());
  }
  for (const WorkKind& kind : aCatalogue.m_kinds) {
    ToBody(kind, body.add_kinds());
  }
  return body.SerializeAsString();
}

std::shared_ptr<const Catalogue> DecodeCatalogue(const std::string& aBytes)
{
  proto::CatalogueBody body;
  auto catalogue = std::make_shared<Catalogue>();
  if (!body.ParseFromString(aBytes) || !AllKnown(body) ||
      !HeadFromBody(body, catalogue.get())) {
    return nullptr;
  }
  for (const proto::TeamBody& team : body.teams()) {
    catalogue->m_teams.push_back(FromBody(team));
  }
  for (const proto::CustomerBody& customer : body.customers()) {
    catalogue->m_customers.push_back(FromBody(customer));
  }
  for (const proto::KindBody& kind : body.kinds()) {
    catalogue->m_kinds.push_back(FromBody(kind));
  }
  return catalogue;
}

std::uint64_t DigestOf(const std::string& aBytes)
{
  return XXH64(aBytes.data(), aBytes.size(), 0);
}

std::string EncodeDelta(const Catalogue& aFrom, const Catalogue& aTo)
{
  proto::CatalogueDelta delta;
  proto::CatalogueBody* changed = delta.mutable_changed();
  HeadToBody(aTo, changed);
  DiffParts(aFrom.m_teams,
            aTo.m_teams,
            changed->mutable_teams(),
            delta.mutable_removed_teams());
  DiffParts(aFrom.m_customers,
            aTo.m_customers,
            changed->mutable_customers(),
            delta.mutable_removed_customers());
  DiffParts(aFrom.m_kinds,
            aTo.m_kinds,
            changed->mutable_kinds(),
            delta.mutable_removed_kinds());
  std::string bytes = delta.SerializeAsString();
  // A new order of the parts can't be said as a change.
  const auto result = ApplyDelta(aFrom, bytes);
  if (!result || EncodeCatalogue(*result) != EncodeCatalogue(aTo)) {
    return {};
  }
  return bytes;
}

std::shared_ptr<const Catalogue> ApplyDelta(const Catalogue& aFrom,
                                            const std::string& aDelta)
{
  proto::CatalogueDelta delta;
  auto catalogue = std::make_shared<Catalogue>(aFrom);
  if (aDelta.empty() || !delta.ParseFromString(aDelta) ||
      !AllKnown(delta.changed()) ||
      !HeadFromBody(delta.changed(), catalogue.get())) {
    return nullptr;
  }
  PatchParts(
    delta.changed().teams(), delta.removed_teams(), &catalogue->m_teams);
  PatchParts(delta.changed().customers(),
             delta.removed_customers(),
             &catalogue->m_customers);
  PatchParts(
    delta.changed().kinds(), delta.removed_kinds(), &catalogue->m_kinds);
  return catalogue;
}

} // namespace lycheestep
