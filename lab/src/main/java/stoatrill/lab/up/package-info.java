/**
 * A small deployment to try: stand-ins in this process, real routers as processes of their own, and a modest load
 * by the PostgreSQL driver. Nothing of it outlives its {@link stoatrill.lab.up.Trial}.
 */
package stoatrill.lab.up;
