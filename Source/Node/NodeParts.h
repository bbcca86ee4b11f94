#pragma once

#include "Node/Node.h"

#include <memory>

namespace burlreach {

// Options of a node's parts, as they follow from its own.

std::shared_ptr<const PolicyFactory> policiesOf(const Node::Options& options);
/** The instance as it describes itself to others. */
peers::Member memberOf(const Node::Options& options);
StoreReader::Options readerOf(const Node::Options& options);
RequestFlow::Options flowOf(const Node::Options& options);

}
