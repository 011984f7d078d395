#include "lycheestep/catalogue.h"

#include <algorithm>

namespace lycheestep {

namespace {

template<class Item, class Name>
const Item* FindByName(const std::vector<Item>& aItems, const Name& aName)
{
  auto found =
    std::find_if(aItems.begin(), aItems.end(), [&aName](const Item& aItem) {
      return aItem.m_name == aName;
    });
  return found == aItems.end() ? nullptr : &*found;
}

} // namespace

const char* ToString(WorkClass aClass)
{
  switch (aClass) {
    case WorkClass::kUrgent:
      return "urgent";
    case WorkClass::kStandard:
      return "standard";
    case WorkClass::kBatch:
      return "batch";
  }
  return "unknown";
}

const char* ToString(WorkForm aForm)
{
  switch (aForm) {
    case WorkForm::kRequest:
      return "request";
    case WorkForm::kJob:
      return "job";
    case WorkForm::kGang:
      return "gang";
    case WorkForm::kService:
      return "service";
  }
  return "unknown";
}

const WorkKind* Catalogue::FindKind(const KindName& aName) const
{
  return FindByName(m_kinds, aName);
}

const Team* Catalogue::FindTeam(const TeamName& aName) const
{
  return FindByName(m_teams, aName);
}

const Customer* Catalogue::FindCustomer(const CustomerName& aName) const
{
  return FindByName(m_customers, aName);
}

std::vector<const Customer*> Catalogue::PromisedCustomersOf(
  const KindName& aKind) const
{
  std::vector<const Customer*> promised;
  for (const Customer& customer : m_customers) {
    const auto& kinds = customer.m_kinds;
    const bool depends =
      std::find(kinds.begin(), kinds.end(), aKind) != kinds.end();
    if (customer.m_promised && depends) {
      promised.push_back(&customer);
    }
  }
  return promised;
}

} // namespace lycheestep
