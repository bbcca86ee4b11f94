#pragma once

namespace burlreach {

/**
 * Blocks SIGTERM, SIGINT and SIGHUP, so that they stay pending until the
 * instance has installed its handlers. Until then the default action would
 * terminate the process, even for a reload (SIGHUP). Must be called before any
 * thread is started, since threads inherit the signal mask.
 */
void holdSignals();

/** Unblocks the signals in the calling thread; pending ones are delivered to it. */
void releaseSignals();

}
