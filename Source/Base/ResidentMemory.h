#pragma once

#include <cstddef>

namespace burlreach {

/** The resident memory of this process in bytes; 0 if it is not known. */
std::size_t residentBytes();

}
