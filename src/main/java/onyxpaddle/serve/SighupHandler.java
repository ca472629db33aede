package onyxpaddle.serve;

import java.lang.reflect.Proxy;
import onyxpaddle.node.Log;

/**
 * Catches SIGHUP, on which the JVM would end otherwise. The JDK's class for signals is called by reflection: it
 * is in a supported module, but javac warns of its name, and warnings are errors here.
 */
final class SighupHandler {
    private SighupHandler() {
    }

    /**
     * From now on SIGHUP install the action, on a thread of the JVM's own, in place of ending the process. A process that
     * was started with SIGHUP ignored, as by nohup, never sees one: the JVM leaves it so, and this says it.
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
        Object before = signal.getMethod("handle", signal, handlerType)
            .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), handler);
        if (handlerType.getField("SIG_IGN").get(null).equals(before)) {
            Log.line("SIGHUP is ignored, as this process was started so (by nohup?): it will not reload");
        }
    }
}
