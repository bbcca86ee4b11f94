#include "Program/TrafficThread.h"

#include "Base/ChronoDuration.h"
#include "Base/ResidentMemory.h"
#include "Program/ConnectionLimits.h"

#include <algorithm>
#include <asio/dispatch.hpp>
#include <utility>

namespace burlreach {

namespace {

constexpr Milliseconds TendingInterval{ 1000 };

constexpr std::size_t BytesPerMegabyte = 1000000;
/** What a process with a small configuration uses beside what callers and servers make it hold. */
constexpr std::size_t LeastOtherBytes = 24 * BytesPerMegabyte;
/** With less than this, hardly any request could be served. */
constexpr std::size_t LeastHeldBytes = 8 * BytesPerMegabyte;
/** One part in so many of the machine's memory stays free, for what cannot be counted. */
constexpr std::size_t FreePart = 8;

std::size_t boundOfHeldBytes(std::size_t machineBytes, std::size_t otherBytes)
{
    const std::size_t taken = std::max(otherBytes, LeastOtherBytes) + machineBytes / FreePart;
    return std::max(machineBytes - std::min(machineBytes, taken), LeastHeldBytes);
}

std::size_t relaySessions(const Settings& settings)
{
    return std::min(RelayServer::Options{}.mostSessions, connectionLimits(settings.descriptors).relays);
}

RequestForwarder::Options deskOptions(const Settings& settings)
{
    RequestForwarder::Options options;
    options.address = settings.callersAddress;
    options.maxSessions = std::min(settings.maximumSessions, connectionLimits(settings.descriptors).callers);
    options.maxMemory = boundOfHeldBytes(settings.memoryMegabytes * BytesPerMegabyte, 0);
    options.limits.headerBytes = settings.maximumHeaderBytes;
    options.limits.bodyBytes = settings.maximumBodyBytes;
    options.limits.idleTimeout = settings.idleSession;
    return options;
}

}

TrafficThread::TrafficThread(const Settings& settings, Dependencies givenParts)
    : machineBytes(settings.memoryMegabytes * BytesPerMegabyte)
    , readinessAddress(settings.readinessAddress)
    , relayAddress(settings.relayAddress)
    , dependencies(givenParts)
    , work(asio::make_work_guard(this->context))
    , timer(this->context)
    , tending(this->context)
    , forwarder(this->context, deskOptions(settings),
          { .dialect = givenParts.dialect,
              .clock = givenParts.clock,
              .sink = givenParts.sink,
              .repeats = givenParts.repeats,
              .metrics = givenParts.metrics })
    , relays(this->context, { .mostSessions = relaySessions(settings) },
          { .sink = givenParts.sink, .metrics = givenParts.metrics })
    , readiness(this->context, settings.readinessPath, *givenParts.reader, *givenParts.clock)
{
    this->readiness.setMaxSessions(connectionLimits(settings.descriptors).readiness);
}

TrafficThread::~TrafficThread()
{
    this->stop();
}

std::error_code TrafficThread::start()
{
    if (const auto error = this->forwarder.start())
        return error;
    if (this->readinessAddress.port) {
        if (const auto error = this->readiness.listen(this->readinessAddress))
            return error;
    }
    if (this->relayAddress.port) {
        if (const auto error = this->relays.listen(this->relayAddress))
            return error;
    }
    this->scheduleTending();
    this->thread = std::thread([this] { this->context.run(); });
    return {};
}

void TrafficThread::stop()
{
    if (!this->thread.joinable())
        return;
    this->context.stop();
    this->thread.join();
}

void TrafficThread::run(std::function<void()> task)
{
    asio::dispatch(this->context, std::move(task));
}

void TrafficThread::wakeAt(Milliseconds due)
{
    if (due >= this->wakesAt)
        return;
    this->wakesAt = due;
    const Milliseconds span = std::max(Milliseconds{}, due - this->dependencies.clock->now());
    this->timer.expires_after(toDuration(span));
    this->timer.async_wait([this](const asio::error_code& error) {
        if (error)
            return;
        this->wakesAt = Never;
        this->dependencies.sink->post(RequestTimer{});
    });
}

void TrafficThread::boundMemory()
{
    const std::size_t resident = residentBytes();
    const std::size_t other = resident - std::min(resident, this->forwarder.heldBytes());
    this->forwarder.setMaxMemory(boundOfHeldBytes(this->machineBytes, other));
}

void TrafficThread::scheduleTending()
{
    this->tending.expires_after(toDuration(TendingInterval));
    this->tending.async_wait([this](const asio::error_code& error) {
        if (error)
            return;
        this->forwarder.runMaintenance();
        this->boundMemory();
        this->readiness.tend();
        this->scheduleTending();
    });
}

}
