package stoatrill.lab.rig;

/**
 * One line of a {@link History}, read from its words. Times are nanoseconds of the rig. Its kinds and words are listed
 * there.
 */
sealed interface HistoryEvent {

    /** A request of a client: {@code closedBy} is the router whose close crossed it, null for none. */
    record Request(
            String id,
            boolean isUpload,
            String router,
            long sentAt,
            long endedAt,
            String outcome,
            int tryCount,
            String closedBy)
            implements HistoryEvent {
        private static final String NO_ROUTER = "-";
        private static final int TRY_COUNT_INDEX = 7;
        private static final int CLOSED_BY_INDEX = 8;

        private static Request of(String[] words) {
            boolean isClosed = words.length > CLOSED_BY_INDEX && !words[CLOSED_BY_INDEX].equals(NO_ROUTER);
            return new Request(
                    words[1],
                    words[2].equals("upload"),
                    words[3],
                    Long.parseLong(words[4]),
                    Long.parseLong(words[5]),
                    words[6],
                    words.length > TRY_COUNT_INDEX ? Integer.parseInt(words[TRY_COUNT_INDEX]) : 1,
                    isClosed ? words[CLOSED_BY_INDEX] : null);
        }

        boolean isServed() {
            return outcome.equals("ok");
        }

        /** Whether it was served with a value that is not its own. */
        boolean isForeign() {
            return outcome.equals("foreign");
        }

        boolean isRefused() {
            return outcome.equals("refused");
        }

        boolean isError() {
            return outcome.startsWith("error:");
        }
    }

    /** A fault that the rig applied to {@code target}: a router, a node or discovery. */
    record Fault(long at, String kind, String target) implements HistoryEvent {
        boolean isOnDiscovery() {
            return target.equals("discovery");
        }

        /** Whether it ends the router's process, at once or after a grace. */
        boolean endsRouter() {
            return kind.startsWith("kill") || kind.startsWith("term");
        }
    }

    /** How often an upload ran at the nodes. */
    record UploadRuns(String id, int count) implements HistoryEvent {}

    /** A request that passed the relay of a node; {@code router} is empty if it is not known. */
    record SentToNode(long at, String node, String router) implements HistoryEvent {}

    /** Discovery shows from then on that a node drains. */
    record NodeLeaves(long at, String node) implements HistoryEvent {}

    /** A router's watch fell silent; its wait would have ended at {@code until}. */
    record WatchSilent(long at, String router, long until) implements HistoryEvent {}

    /** How old a node's data was when a bounded read came to it, in milliseconds. */
    record ReadAge(String id, long millis) implements HistoryEvent {}

    /** A router's process ended though nothing had ended it. */
    record RouterEnded(long at, String router, String status) implements HistoryEvent {}

    /** A line of a router's log that tells of an error. */
    record LoggedError(String router, String line) implements HistoryEvent {}

    /**
     * Reads one line of a history.
     *
     * @throws IllegalArgumentException if it is of no known kind, or a number in it is none
     */
    static HistoryEvent parse(String line) {
        String[] words = line.split("\t", -1);
        return switch (words[0]) {
            case "op" -> Request.of(words);
            case "fault" -> new Fault(Long.parseLong(words[1]), words[2], words[3]);
            case "ran" -> new UploadRuns(words[1], Integer.parseInt(words[2]));
            case "sent" -> new SentToNode(Long.parseLong(words[1]), words[2], words[3]);
            case "leaves" -> new NodeLeaves(Long.parseLong(words[1]), words[2]);
            case "silent" -> new WatchSilent(Long.parseLong(words[1]), words[2], Long.parseLong(words[3]));
            case "age" -> new ReadAge(words[1], Long.parseLong(words[2]));
            case "ended" -> new RouterEnded(Long.parseLong(words[1]), words[2], words[3]);
            case "logged" -> new LoggedError(words[1], words[2]);
            default -> throw new IllegalArgumentException("no line of a history: " + line);
        };
    }
}
