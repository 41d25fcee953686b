package stoatrill.core;

/**
 * A client's request, as parsed by a client protocol.
 *
 * @param id chosen by the client; unique among the open requests
 * @param requestClass the name of its request class
 * @param key the session, or the record asked for
 * @param group the group of servers that may serve it
 * @param waitMillis how long the client waits for the answer
 * @param lastWriteMillis Unix time of the session's last write; 0 if it has none
 * @param isRepeat whether the client marked it as a repeat
 * @param isWrite whether the statement changes data
 * @param statement the statement to send to a server
 * @param team the requesting team, by the path of its contract; empty if the client named none
 */
public record ClientRequest(
        String id,
        String requestClass,
        String key,
        int group,
        long waitMillis,
        long lastWriteMillis,
        boolean isRepeat,
        boolean isWrite,
        Statement statement,
        String team) {

    /** Creates a request without a team. */
    public ClientRequest(
            String id,
            String kind,
            String key,
            int group,
            long waitMillis,
            long afterMillis,
            boolean repeat,
            boolean writes,
            Statement statement) {
        this(id, kind, key, group, waitMillis, afterMillis, repeat, writes, statement, "");
    }

    /** Returns this request for the given team, unless the request names a team itself. */
    public ClientRequest withTeam(String otherTeam) {
        return team.isEmpty() && !otherTeam.isEmpty()
                ? new ClientRequest(
                        id,
                        requestClass,
                        key,
                        group,
                        waitMillis,
                        lastWriteMillis,
                        isRepeat,
                        isWrite,
                        statement,
                        otherTeam)
                : this;
    }
}
