package stoatrill.core;

import java.util.Map;
import stoatrill.Gateway.Result;
import stoatrill.Gateway.Role;

/**
 * A server's answer to a query or a probe, as parsed by a server protocol.
 *
 * @param positionMillis the time up to which the server had applied the log, or the commit time of a write, as Unix
 *     time; negative if unknown
 * @param report the fields of its load report by name, or null
 * @param value the answer's bytes if it was served
 */
@SuppressWarnings("ArrayRecordComponent") // passes bytes to the client without a copy; never compared
public record ServerAnswer(Result result, Role role, long positionMillis, Map<String, Double> report, byte[] value) {}
