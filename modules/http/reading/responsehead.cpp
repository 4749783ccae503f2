#include "http/reading/responsehead.h"

namespace Pimentohollow
{

ReadResult<ResponseHead> readFinalHead(ByteStream &stream, std::size_t maximumBytes, TimePoint deadline)
{
    constexpr int MaximumInterimAnswers = 8;
    constexpr std::uint16_t FirstFinalStatus = 200;
    for (int n = 0; n <= MaximumInterimAnswers; ++n) {
        const auto text = stream.readHead(maximumBytes, deadline);
        if (!text) {
            return tl::unexpected(text.error());
        }
        auto head = parseResponseHead(*text);
        if (!head) {
            return tl::unexpected(ReadFault::Malformed);
        }
        if (head->status >= FirstFinalStatus) {
            return std::move(*head);
        }
    }
    return tl::unexpected(ReadFault::Malformed);
}

} // namespace Pimentohollow
