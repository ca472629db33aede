package onyxpaddle.serve;

import java.lang.reflect.Proxy;

/**
 * Catches SIGHUP, on which the JVM would end otherwise. The JDK's class for signals is called by reflection: it
 * is in a supported module, but javac warns of its name, and warnings are errors here.
 */
final class Hangup {
    private Hangup() {
    }

    /** From now on SIGHUP runs the action, on a thread of the JVM's own, in place of ending the process. */
    static void runs(Runnable action) throws ReflectiveOperationException {
        Class<?> signal = Class.forName("sun.misc.Signal");
        Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
        Object handler = Proxy.newProxyInstance(Hangup.class.getClassLoader(), new Class<?>[] {handlerType},
            (proxy, method, arguments) -> switch (method.getName()) {
                case "handle" -> {
                    action.run();
                    yield null;
                }
                case "equals" -> proxy == arguments[0];
                case "hashCode" -> System.identityHashCode(proxy);
                default -> "SIGHUP handler";
            });
        signal.getMethod("handle", signal, handlerType)
            .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), handler);
    }
}
