#include <stairspur/retry/AttemptProgress.h>

#include <string>

namespace stairspur::retry {

IllegalProgress::IllegalProgress(AttemptStage stage, std::string_view event)
    : Error("an attempt that is '" + std::string(nameOf(stage)) + "' cannot take the event '"
                    + std::string(event) + "'",
            "report this as a fault of stairspur, with the log lines of the attempt")
{}

auto AttemptProgress::isProvenNotRun() const -> bool
{
    return m_stage == AttemptStage::NotSent || m_stage == AttemptStage::Rejected;
}

auto AttemptProgress::maySend() const -> bool
{
    return isProvenNotRun() || (m_stage == AttemptStage::MayHaveRun && !m_mustRunOnce);
}

auto AttemptProgress::didSend() -> void
{
    if (!maySend())
        throw IllegalProgress(m_stage, "send");
    m_stage = m_stage == AttemptStage::MayHaveRun ? AttemptStage::SentAgain : AttemptStage::Sent;
    ++m_sends;
}

auto AttemptProgress::didEnd(SendEnd end) -> void
{
    const auto isUnderWay = m_stage == AttemptStage::Sent || m_stage == AttemptStage::SentAgain;
    if (!isUnderWay)
        throw IllegalProgress(m_stage, nameOf(end));
    m_hasArrived = m_hasArrived || end != SendEnd::NotArrived;
    if (end == SendEnd::Answered)
        m_stage = AttemptStage::Answered;
    else if (m_stage == AttemptStage::SentAgain || end == SendEnd::MayHaveRun)
        m_stage = AttemptStage::MayHaveRun;
    else
        m_stage = m_hasArrived ? AttemptStage::Rejected : AttemptStage::NotSent;
}

auto AttemptProgress::finish() -> bool
{
    const auto isRefusal = isProvenNotRun();
    if (!isRefusal && m_stage != AttemptStage::MayHaveRun)
        throw IllegalProgress(m_stage, "finish");
    m_stage = isRefusal ? AttemptStage::Refused : AttemptStage::GivenUp;
    return isRefusal;
}

auto sendEndOf(Outcome outcome, Reason reason, bool wasDispatched) -> SendEnd
{
    if (outcome == Outcome::Answered)
        return SendEnd::Answered;
    if (outcome != Outcome::NotRun || wasDispatched)
        return SendEnd::MayHaveRun;
    return reason == Reason::BackendShed ? SendEnd::Rejected : SendEnd::NotArrived;
}

} // namespace stairspur::retry
