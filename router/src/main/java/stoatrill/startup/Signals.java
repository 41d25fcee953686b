package stoatrill.startup;

import java.lang.reflect.Proxy;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Installs handlers for operating system signals. The virtual machine's only interface to signals is a class that javac
 * warns about wherever it is named, so it is called by reflection. The virtual machine starts a new thread to handle
 * each signal; if the system refuses that thread, the virtual machine reports it and the signal is lost.
 */
public final class Signals {
    private Signals() {}

    /**
     * Installs a handler for a signal.
     *
     * <p>A signal that was ignored when the virtual machine started stays ignored: the virtual machine installs no
     * handler for it, and only the previous handler that it returns shows this. {@code nohup} starts programs that way.
     *
     * @param name the signal's name without its prefix, such as {@code HUP}
     * @param action runs on a new thread each time the signal arrives
     */
    public static void handle(String name, Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object handlerProxy = Proxy.newProxyInstance(
                    Signals.class.getClassLoader(), new Class<?>[] {handler}, (self, method, args) -> {
                        action.run();
                        return null;
                    });
            Object previous = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), handlerProxy);
            if (previous == handler.getField("SIG_IGN").get(null)) {
                log().warn(
                                "SIG{} was ignored when this process was started and stays so: it has no effect; start"
                                        + " the router with env --default-signal={}",
                                name,
                                name);
            }
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            log().warn("no handler for SIG{} could be installed: {}", name, e.toString());
        }
    }

    private static Logger log() {
        return LoggerFactory.getLogger(
                Signals.class); // looked up here because the logging library is chosen after this class is loaded
    }
}
