#include "Program/TrafficThread.h"

#include "Base/ChronoDuration.h"

#include <algorithm>
#include <asio/dispatch.hpp>
#include <utility>

namespace burlreach {

namespace {

constexpr Milliseconds TendingInterval{ 1000 };

RequestForwarder::Options deskOptions(const Settings& settings)
{
    RequestForwarder::Options options;
    options.address = settings.callersAddress;
    options.maxSessions = settings.maximumSessions;
    options.limits.headerBytes = settings.maximumHeaderBytes;
    options.limits.bodyBytes = settings.maximumBodyBytes;
    options.limits.idleTimeout = settings.idleSession;
    return options;
}

}

TrafficThread::TrafficThread(const Settings& settings, Dependencies givenParts)
    : readinessAddress(settings.readinessAddress)
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
    , relays(this->context, {}, { .sink = givenParts.sink, .metrics = givenParts.metrics })
    , readiness(this->context, settings.readinessPath, *givenParts.reader, *givenParts.clock)
{
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

void TrafficThread::scheduleTending()
{
    this->tending.expires_after(toDuration(TendingInterval));
    this->tending.async_wait([this](const asio::error_code& error) {
        if (error)
            return;
        this->forwarder.runMaintenance();
        this->readiness.tend();
        this->scheduleTending();
    });
}

}
