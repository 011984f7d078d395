#include "room_index.h"

#include <algorithm>

namespace lycheestep {

void RoomIndex::Reset(std::size_t aSize)
{
  m_size = aSize;
  m_leaves = 1;
  while (m_leaves < aSize) {
    m_leaves *= 2;
  }
  m_nodes.assign(2 * m_leaves, Resources(-1, -1, -1, -1, -1));
}

void RoomIndex::Set(std::size_t aPosition, const Resources& aRoom)
{
  std::size_t node = m_leaves + aPosition;
  m_nodes[node] = aRoom;
  while (node > 1) {
    node /= 2;
    const Resources largest =
      Resources::Max(m_nodes[2 * node], m_nodes[2 * node + 1]);
    if (largest == m_nodes[node]) {
      return;
    }
    m_nodes[node] = largest;
  }
}

std::size_t RoomIndex::Find(std::size_t aFrom,
                            const Resources& aDemand,
                            std::size_t& aVisits) const
{
  if (aFrom >= m_size) {
    return kNone;
  }
  std::size_t node = m_leaves + aFrom;
  while (true) {
    ++aVisits;
    if (aDemand.FitsIn(m_nodes[node])) {
      if (node >= m_leaves) {
        return node - m_leaves;
      }
      node *= 2;
      continue;
    }
    // On to the subtree on the right of the nearest left child above.
    while (node % 2 == 1) {
      if (node == 1) {
        return kNone;
      }
      node /= 2;
    }
    ++node;
  }
}

} // namespace lycheestep
