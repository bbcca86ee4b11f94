#pragma once

namespace burlreach {

/**
 * Keeps SIGTERM, SIGINT and SIGHUP waiting. Called first of all, before there
 * is any thread: until an instance can take them their default would end the
 * process, also for a mere reload.
 */
void holdSignals();

/** Lets what has waited through, to this thread. */
void releaseSignals();

}
