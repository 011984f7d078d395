#ifndef LYCHEESTEP_MODEL_ADDRESS_H
#define LYCHEESTEP_MODEL_ADDRESS_H

#include <cstddef>
#include <string>

#include "lycheestep/network_address.h"

namespace lycheestep {

// The number of an address that no target of a model has.
constexpr std::size_t kUnusedAddress = 65000;

// Returns the address of a modelled target, another one for each number below
// 65,536. Nothing listens there.
inline NetworkAddress ModelAddress(std::size_t aNumber)
{
  constexpr std::size_t kValuesPerByte = 256;
  return NetworkAddress::ParseOrNone(
    "10.0." + std::to_string(aNumber / kValuesPerByte) + "." +
    std::to_string(aNumber % kValuesPerByte) + ":8080");
}

} // namespace lycheestep

#endif
