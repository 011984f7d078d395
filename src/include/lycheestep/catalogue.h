#ifndef LYCHEESTEP_CATALOGUE_H
#define LYCHEESTEP_CATALOGUE_H

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "lycheestep/id.h"
#include "lycheestep/resources.h"
#include "lycheestep/work_kind.h"

namespace lycheestep {

// A team that owns kinds of work.
struct Team
{
  TeamName m_name;
  // Most that the team's running tasks may take of the whole cell, as a
  // dominant share between 0 and 1.
  double m_quota = 1.0;
  // Part of the cell that the team keeps while others flood, as a dominant
  // share between 0 and 1. The floors of all teams add up to at most 1.
  double m_floor = 0.0;
};

// A customer of the firm.
struct Customer
{
  CustomerName m_name;
  // True when the customer was promised a call before a planned slowdown.
  bool m_promised = false;
  // Whom to call, as the operator is shown it.
  std::string m_contact;
  // The kinds of work that this customer depends on.
  std::vector<KindName> m_kinds;
};

// How the cell weighs its two objectives; both are at least 0 and they add
// up to 1.
struct CellWeights
{
  double m_waiting = 0.5;
  double m_packing = 0.5;
};

// Everything that operators declare. A catalogue is a value: a change makes a
// new one with a greater version, and none is ever edited in place.
struct Catalogue
{
  // Zero means that no catalogue was accepted yet.
  std::uint64_t m_version = 0;
  std::string m_cell;
  CellWeights m_weights;
  // Part of the cell that each class keeps while others flood; the sum is at
  // most 1.
  std::array<double, kWorkClasses> m_classFloors{ 0.3, 0.2, 0.1 };
  std::vector<Team> m_teams;
  std::vector<Customer> m_customers;
  std::vector<WorkKind> m_kinds;

  // The kind, team or customer of that name, or null.
  const WorkKind* FindKind(const KindName& aName) const;
  const Team* FindTeam(const TeamName& aName) const;
  const Customer* FindCustomer(const CustomerName& aName) const;

  // The customers with a promise who depend on the kind.
  std::vector<const Customer*> PromisedCustomersOf(const KindName& aKind) const;
};

} // namespace lycheestep

#endif
