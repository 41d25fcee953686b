package stoatrill;

/** Why {@link Decide} chose the server of an attempt. */
enum Route {
    PRIMARY("primary only"),
    OWN_ZONE("replica of the own zone"),
    SPARE_PRIMARY("primary with spare capacity"),
    OTHER_ZONE("replica of another zone"),
    READ_AT_PRIMARY("read at the primary"),
    ALL_BUSY("all busy"),
    ALL_EJECTED("all ejected"),
    PRIMARY_SEARCH("search for the primary");

    private final String cause;

    Route(String cause) {
        this.cause = cause;
    }

    /** The cause as {@link Gateway#count} gets it. */
    String cause() {
        return cause;
    }
}
