package stoatrill.startup;

import java.lang.reflect.Proxy;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handlers for the signals of the process. The virtual machine's only way to a signal is a class that javac warns of
 * whenever it is named, so it is reached by name at run time. Each signal is handled on a thread of its own, which the
 * virtual machine starts; where the system refuses that thread, the virtual machine says so and the signal is lost.
 */
public final class Signals {
    private Signals() {}

    /**
     * Handles a signal from now on.
     *
     * <p>A signal that was ignored when the virtual machine started stays ignored: the machine installs no handler for
     * it and says so by the previous handler alone. {@code nohup} starts programs that way.
     *
     * @param name as in {@code HUP}
     */
    public static void handle(String name, Runnable then) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object calls = Proxy.newProxyInstance(
                    Signals.class.getClassLoader(), new Class<?>[] {handler}, (self, method, args) -> {
                        then.run();
                        return null;
                    });
            Object previous = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), calls);
            if (previous == handler.getField("SIG_IGN").get(null)) {
                log().warn(
                                "SIG{} was ignored when this process was started and stays so: it has no effect; start"
                                        + " the router with env --default-signal={}",
                                name,
                                name);
            }
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            log().warn("SIG{} is not handled here: {}", name, e.toString());
        }
    }

    private static Logger log() {
        return LoggerFactory.getLogger(Signals.class); // not before the library of the logs was chosen
    }
}
