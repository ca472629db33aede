package onyxpaddle.serve;

import java.lang.reflect.Proxy;
import onyxpaddle.node.Log;

/**
 * Handles SIGHUP, which would otherwise terminate the JVM. The JDK's signal class is called by reflection: it is in a
 * supported module, but javac warns about its use, and the build treats warnings as errors.
 */
final class SighupHandler {
    private SighupHandler() {
    }

    /**
     * Runs the action on SIGHUP instead of terminating the process; it runs on a thread of the JVM. In a process that was started
     * with SIGHUP ignored, as by nohup, the JVM leaves the signal ignored; this is logged.
     */
    static void install(Runnable action) throws ReflectiveOperationException {
        Class<?> signal = Class.forName("sun.misc.Signal");
        Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
        Object handler = Proxy.newProxyInstance(SighupHandler.class.getClassLoader(), new Class<?>[] {handlerType},
            (proxy, method, arguments) -> switch (method.getName()) {
                case "handle" -> {
                    action.run();
                    yield null;
                }
                case "equals" -> proxy == arguments[0];
                case "hashCode" -> System.identityHashCode(proxy);
                default -> "SIGHUP handler";
            });
        Object previous = signal.getMethod("handle", signal, handlerType)
            .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), handler);
        if (handlerType.getField("SIG_IGN").get(null).equals(previous)) {
            Log.line("SIGHUP was ignored when this process started (nohup?), so it does not reload the configuration");
        }
    }
}
