package stoatrill.lab.scale.faketime;

/** The size to design for, and the bounds that control is held to there. */
final class DesignSize {
    static final int ROUTERS = 1_400;
    static final int DATABASES = 1_700;
    static final int GROUPS = 280;
    static final int ZONES = 14;
    static final int REGIONS = 5;
    /** Six databases in each of 280 groups are 1,680: the 20 left over stand in groups of seven. */
    static final int DATABASES_PER_GROUP = 6;

    /** Statements a second at one router: 2.2 million over 1,400 routers. */
    static final double STATEMENTS_PER_ROUTER = 1_571;

    static final double STATEMENTS_PER_ROUTER_AND_GROUP = STATEMENTS_PER_ROUTER / GROUPS;
    /** The share of statements that are reads of bounded age. */
    static final double BOUNDED_SHARE = 0.48;

    static final double BOUNDED_PER_ROUTER_AND_GROUP = STATEMENTS_PER_ROUTER_AND_GROUP * BOUNDED_SHARE;
    static final double STATEMENTS_PER_GROUP = STATEMENTS_PER_ROUTER_AND_GROUP * ROUTERS;

    /** Client connections of one router: 8.1 million over 1,400 routers. */
    static final int CLIENTS_PER_ROUTER = 5_786;

    /** Bytes a second of control at one router, both directions. */
    static final double CONTROL_BYTES_PER_SECOND = 4_096;
    /** Connections that one database holds. */
    static final double CONNECTIONS_PER_DATABASE = 400;
    /** Calls a second that are taken as what discovery serves. */
    static final double DISCOVERY_CALLS_PER_SECOND = 400;

    private DesignSize() {}
}
