#include <array>
#include <cmath>

#include "catalogue_rules.h"
#include "embedded_schema.h"
#include "json_access.h"
#include "json_text.h"
#include "lycheestep/catalogue.h"
#include "lycheestep/document.h"
#include "schema_check.h"

namespace lycheestep {

namespace {

using nlohmann::json;
using OrderedJson = nlohmann::ordered_json;

constexpr std::int64_t kBytesPerMib = 1048576;
constexpr double kMillisPerCore = 1000.0;

constexpr std::array<WorkClass, kWorkClasses> kClasses{ WorkClass::kUrgent,
                                                        WorkClass::kStandard,
                                                        WorkClass::kBatch };
constexpr std::array<WorkForm, 4> kForms{ WorkForm::kRequest,
                                          WorkForm::kJob,
                                          WorkForm::kGang,
                                          WorkForm::kService };

// Returns the value for which ToString() gives aName, or aDefault if there is
// none: the key was left out, since the schema allows no other names.
template<class Value, std::size_t Count>
Value FromName(const std::array<Value, Count>& aValues,
               const std::string& aName,
               Value aDefault)
{
  for (const Value value : aValues) {
    if (aName == ToString(value)) {
      return value;
    }
  }
  return aDefault;
}

Resources ReadDemand(const json& aDemand)
{
  const double cores = NumberMember(aDemand, "cores").value_or(0.0);
  const std::int64_t memory = SizeMember(aDemand, "memory").value_or(0);
  return { std::llround(cores * kMillisPerCore),
           memory / kBytesPerMib,
           aDemand.value("accelerators", std::int64_t{ 0 }),
           aDemand.value("slots", std::int64_t{ 1 }),
           aDemand.value("connections", std::int64_t{ 1 }) };
}

WorkKind ReadKind(const json& aKind)
{
  WorkKind kind;
  kind.m_name = KindName(aKind.at("name"));
  kind.m_owner = aKind.at("owner");
  kind.m_team = TeamName(aKind.at("team"));
  kind.m_class =
    FromName(kClasses, TextMember(aKind, "class").value_or(""), kind.m_class);
  kind.m_form =
    FromName(kForms, TextMember(aKind, "form").value_or(""), kind.m_form);
  kind.m_demand = ReadDemand(aKind.at("demand"));
  kind.m_tasks = aKind.value("tasks", kind.m_tasks);
  kind.m_repeatable = aKind.value("repeatable", kind.m_repeatable);
  const bool mustBeDurable =
    !kind.m_repeatable || kind.m_form != WorkForm::kRequest;
  kind.m_durable = aKind.value("durable", mustBeDurable);
  kind.m_checkpointable = aKind.value("checkpointable", kind.m_checkpointable);
  kind.m_deadline = DurationMember(aKind, "deadline").value_or(kind.m_deadline);
  kind.m_runTime = DurationMember(aKind, "run_time").value_or(kind.m_runTime);
  kind.m_runTimeLimit =
    DurationMember(aKind, "run_time_limit").value_or(kind.m_runTimeLimit);
  kind.m_queueLimit = aKind.value("queue_limit", kind.m_queueLimit);
  kind.m_runningLimit = aKind.value("running_limit", kind.m_runningLimit);
  return kind;
}

Team ReadTeam(const json& aTeam)
{
  Team team;
  team.m_name = TeamName(aTeam.at("name"));
  team.m_quota = aTeam.value("quota", team.m_quota);
  team.m_floor = aTeam.value("floor", team.m_floor);
  return team;
}

Customer ReadCustomer(const json& aCustomer)
{
  Customer customer;
  customer.m_name = CustomerName(aCustomer.at("name"));
  customer.m_promised = aCustomer.value("promised", customer.m_promised);
  customer.m_contact = aCustomer.value("contact", customer.m_contact);
  for (const json& kind : aCustomer.at("kinds")) {
    customer.m_kinds.emplace_back(kind.get<std::string>());
  }
  return customer;
}

Catalogue ReadValidCatalogue(const json& aDocument)
{
  Catalogue catalogue;
  catalogue.m_version = aDocument.value("version", catalogue.m_version);
  catalogue.m_cell = aDocument.at("cell");
  if (const json* weights = FindMember(aDocument, "weights")) {
    catalogue.m_weights.m_waiting = weights->at("waiting");
    catalogue.m_weights.m_packing = weights->at("packing");
  }
  if (const json* floors = FindMember(aDocument, "class_floors")) {
    for (const WorkClass workClass : kClasses) {
      catalogue.m_classFloors[static_cast<std::size_t>(workClass)] =
        floors->at(ToString(workClass));
    }
  }
  for (const json& team : aDocument.at("teams")) {
    catalogue.m_teams.push_back(ReadTeam(team));
  }
  for (const json& customer : ListMember(aDocument, "customers")) {
    catalogue.m_customers.push_back(ReadCustomer(customer));
  }
  for (const json& kind : aDocument.at("kinds")) {
    catalogue.m_kinds.push_back(ReadKind(kind));
  }
  return catalogue;
}

OrderedJson WriteDemand(const Resources& aDemand)
{
  const std::int64_t milliCores = aDemand.Get(ResourceKind::kProcessors);
  const std::int64_t memory = aDemand.Get(ResourceKind::kMemory);
  OrderedJson demand;
  demand["cores"] = static_cast<double>(milliCores) / kMillisPerCore;
  demand["memory"] = FormatSize(memory * kBytesPerMib);
  demand["accelerators"] = aDemand.Get(ResourceKind::kAccelerators);
  demand["slots"] = aDemand.Get(ResourceKind::kSlots);
  demand["connections"] = aDemand.Get(ResourceKind::kConnections);
  return demand;
}

OrderedJson WriteKind(const WorkKind& aKind)
{
  OrderedJson kind;
  kind["name"] = aKind.m_name.Text();
  kind["owner"] = aKind.m_owner;
  kind["team"] = aKind.m_team.Text();
  kind["class"] = ToString(aKind.m_class);
  kind["form"] = ToString(aKind.m_form);
  kind["demand"] = WriteDemand(aKind.m_demand);
  kind["tasks"] = aKind.m_tasks;
  kind["repeatable"] = aKind.m_repeatable;
  kind["durable"] = aKind.m_durable;
  kind["checkpointable"] = aKind.m_checkpointable;
  kind["deadline"] = FormatDuration(aKind.m_deadline);
  kind["run_time"] = FormatDuration(aKind.m_runTime);
  kind["run_time_limit"] = FormatDuration(aKind.m_runTimeLimit);
  kind["queue_limit"] = aKind.m_queueLimit;
  kind["running_limit"] = aKind.m_runningLimit;
  return kind;
}

OrderedJson WriteTeam(const Team& aTeam)
{
  OrderedJson team;
  team["name"] = aTeam.m_name.Text();
  team["quota"] = aTeam.m_quota;
  team["floor"] = aTeam.m_floor;
  return team;
}

OrderedJson WriteCustomer(const Customer& aCustomer)
{
  OrderedJson customer;
  customer["name"] = aCustomer.m_name.Text();
  customer["promised"] = aCustomer.m_promised;
  customer["contact"] = aCustomer.m_contact;
  customer["kinds"] = OrderedJson::array();
  for (const KindName& kind : aCustomer.m_kinds) {
    customer["kinds"].push_back(kind.Text());
  }
  return customer;
}

template<class Item, class Write>
OrderedJson WriteList(const std::vector<Item>& aItems, Write aWrite)
{
  OrderedJson list = OrderedJson::array();
  for (const Item& item : aItems) {
    list.push_back(aWrite(item));
  }
  return list;
}

} // namespace

CatalogueDocument ReadCatalogue(const std::string& aText,
                                const std::string& aFile)
{
  ProblemList problems(aFile);
  const json document = ParseJson(aText, problems);
  if (problems.Empty()) {
    static const DocumentSchema kSchema(CatalogueSchema());
    kSchema.Check(document, problems);
    CheckCatalogueRules(document, problems);
  }
  CatalogueDocument result;
  if (problems.Empty()) {
    result.m_catalogue =
      std::make_shared<const Catalogue>(ReadValidCatalogue(document));
  }
  result.m_problems = problems.Take();
  return result;
}

std::string WriteCatalogue(const Catalogue& aCatalogue)
{
  OrderedJson document;
  if (aCatalogue.m_version != 0) {
    document["version"] = aCatalogue.m_version;
  }
  document["cell"] = aCatalogue.m_cell;
  document["weights"]["waiting"] = aCatalogue.m_weights.m_waiting;
  document["weights"]["packing"] = aCatalogue.m_weights.m_packing;
  for (const WorkClass workClass : kClasses) {
    document["class_floors"][ToString(workClass)] =
      aCatalogue.m_classFloors[static_cast<std::size_t>(workClass)];
  }
  document["teams"] = WriteList(aCatalogue.m_teams, WriteTeam);
  document["customers"] = WriteList(aCatalogue.m_customers, WriteCustomer);
  document["kinds"] = WriteList(aCatalogue.m_kinds, WriteKind);
  return document.dump(2, ' ', false, OrderedJson::error_handler_t::replace) +
         '\n';
}

} // namespace lycheestep
