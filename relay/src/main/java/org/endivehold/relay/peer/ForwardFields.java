package org.endivehold.relay.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.endivehold.error.ErrorType;
import org.endivehold.relay.route.Customer;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Packs and unpacks the fields of messages about forwarded requests; see {@link PeerFields}. */
final class ForwardFields {
    /** Stands for an absent number; numbers in these messages are not negative. */
    private static final long ABSENT = -1;

    private ForwardFields() {}

    static void pack(MessagePacker packer, PeerMessage.PathsReported report) throws IOException {
        packer.packString(report.daemon()).packLong(report.number());
        packer.packArrayHeader(report.lostServices().size());
        for (String service : report.lostServices()) {
            packer.packString(service);
        }
    }

    static PeerMessage.PathsReported pathsReported(MessageUnpacker unpacker) throws IOException {
        String daemon = unpacker.unpackString();
        long number = unpacker.unpackLong();
        int count = unpacker.unpackArrayHeader();
        List<String> services = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            services.add(unpacker.unpackString());
        }
        return new PeerMessage.PathsReported(daemon, number, services);
    }

    static void pack(MessagePacker packer, PeerMessage.ForwardedRequest request) throws IOException {
        packer.packString(request.service());
        packer.packString(request.method()).packString(request.uri()).packString(request.path());
        pack(packer, request.headers());
        packer.packInt(request.bodyBytes());
        packer.packString(request.customer().map(Customer::name).orElse(""));
        packer.packLong(request.customer()
                .map(Customer::priority)
                .orElse(OptionalInt.empty())
                .orElse((int) ABSENT));
        packer.packLong(request.remainingMillis());
        packer.packLong(request.resumeAfter().orElse(ABSENT));
        packer.packInt(request.sends()).packInt(request.possibleRuns()).packBoolean(request.counted());
    }

    static PeerMessage.ForwardedRequest request(MessageUnpacker unpacker) throws IOException {
        return new PeerMessage.ForwardedRequest(
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackString(),
                headers(unpacker),
                unpacker.unpackInt(),
                customer(unpacker.unpackString(), unpacker.unpackLong()),
                unpacker.unpackLong(),
                number(unpacker.unpackLong()),
                unpacker.unpackInt(),
                unpacker.unpackInt(),
                unpacker.unpackBoolean());
    }

    private static Optional<Customer> customer(String name, long priority) {
        if (name.isEmpty()) {
            return Optional.empty();
        }
        OptionalInt known = priority == ABSENT ? OptionalInt.empty() : OptionalInt.of((int) priority);
        return Optional.of(new Customer(name, known));
    }

    private static OptionalLong number(long value) {
        return value == ABSENT ? OptionalLong.empty() : OptionalLong.of(value);
    }

    static void pack(MessagePacker packer, PeerMessage.ForwardedHead head) throws IOException {
        packer.packInt(head.status()).packBoolean(head.stream());
        pack(packer, head.headers());
    }

    static PeerMessage.ForwardedHead head(MessageUnpacker unpacker) throws IOException {
        return new PeerMessage.ForwardedHead(unpacker.unpackInt(), unpacker.unpackBoolean(), headers(unpacker));
    }

    static void pack(MessagePacker packer, PeerMessage.ForwardedFailure failure) throws IOException {
        packer.packInt(failure.status()).packString(failure.type().name()).packDouble(failure.retryAfterMillis());
    }

    /** Unpacks a failure; a type that this version does not know is an illegal argument, so the frame is malformed. */
    static PeerMessage.ForwardedFailure failure(MessageUnpacker unpacker) throws IOException {
        return new PeerMessage.ForwardedFailure(
                unpacker.unpackInt(), ErrorType.valueOf(unpacker.unpackString()), unpacker.unpackDouble());
    }

    private static void pack(MessagePacker packer, List<PeerMessage.Header> headers) throws IOException {
        packer.packArrayHeader(headers.size());
        for (PeerMessage.Header header : headers) {
            packer.packString(header.name()).packString(header.value());
        }
    }

    private static List<PeerMessage.Header> headers(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackArrayHeader();
        List<PeerMessage.Header> headers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            headers.add(new PeerMessage.Header(unpacker.unpackString(), unpacker.unpackString()));
        }
        return headers;
    }
}
