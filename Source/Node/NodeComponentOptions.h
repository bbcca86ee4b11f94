#pragma once

#include "Node/Node.h"

#include <memory>

namespace burlreach {

// Derive the options of a node's components from the node's own options.

std::shared_ptr<const PolicyFactory> policiesOf(const Node::Options& options);
/** The description of this instance that it sends to others. */
peers::Member memberOf(const Node::Options& options);
StoreReader::Options readerOf(const Node::Options& options);
RequestFlow::Options flowOf(const Node::Options& options);

}
