package stoatrill.lab.scale.footprint;

/**
 * How statements ended, as their clients saw it.
 *
 * @param rows answered by a row
 * @param refused by the router (53300); they did not run
 * @param failed in any other way
 */
record Answers(long rows, long refused, long failed) {

    /** What has been added since an earlier count. */
    Answers since(Answers earlier) {
        return new Answers(rows - earlier.rows, refused - earlier.refused, failed - earlier.failed);
    }
}
