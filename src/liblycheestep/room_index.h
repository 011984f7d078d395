#ifndef LYCHEESTEP_ROOM_INDEX_H
#define LYCHEESTEP_ROOM_INDEX_H

#include <cstddef>
#include <limits>
#include <vector>

#include "lycheestep/resources.h"

namespace lycheestep {

// Finds positions of a list that may have room for a demand, without looking
// at each. A binary tree over the list: each node has the largest room of the
// positions below it, resource by resource. The room of a position may be set
// too large, never too small; the caller checks each position that is found.
class RoomIndex
{
public:
  static constexpr std::size_t kNone = std::numeric_limits<std::size_t>::max();

  // Makes room for aSize positions, all without room.
  void Reset(std::size_t aSize);

  // Sets the room of one position, at a cost that grows with the logarithm of
  // the size.
  void Set(std::size_t aPosition, const Resources& aRoom);

  // The first position from aFrom on that may have room for aDemand, or kNone.
  // aVisits counts the nodes that were compared.
  std::size_t Find(std::size_t aFrom,
                   const Resources& aDemand,
                   std::size_t& aVisits) const;

private:
  std::size_t m_size = 0;
  // Positions rounded up to a power of two; leaves start there.
  std::size_t m_leaves = 0;
  std::vector<Resources> m_nodes;
};

} // namespace lycheestep

#endif
